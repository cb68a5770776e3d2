/* Ownership of one shard: claims in the log, fencing of its workers, takeover.
 *
 * Daemons claim at any time, read the log late, freeze (the process isn't
 * scheduled), fail and restart. Messages to workers are delayed, reordered and
 * lost. A worker checks only the epoch and not its own capacity, so that the
 * model detects over-commitment.
 *
 * Actions and the functions that they model are listed in docs/PROOFS.md.
 * Mutants: NO_EPOCH_CHECK, GRANT_BEFORE_RECONCILIATION, ADOPT_OLD_CLAIM.
 */
#define DAEMONS 2
#define WORKERS 2
#ifndef MAX_RECORDS
#define MAX_RECORDS 3
#endif
#ifndef MAX_STARTS
#define MAX_STARTS 2
#endif
#define MAX_RESTARTS 1
#define ALL_WORKERS 3
#define JOB 1 /* The job that every owner starts first. */
#define OTHER 2

#ifdef ADOPT_OLD_CLAIM
#define IDENTITY(d, incarnation) (d + 1)
#else
#define IDENTITY(d, incarnation) ((d + 1) * 4 + incarnation)
#endif

mtype = { fence, start };

byte claimant[MAX_RECORDS];
byte previous_epoch[MAX_RECORDS];
byte records = 0;

byte seen_epoch[WORKERS];
byte running[WORKERS]; /* Running tasks; the capacity is 1. */
bool job_here[WORKERS];
byte job_runs = 0; /* Workers on which the job runs now. */
byte starts = 0;

/* kind, worker, epoch, job, daemon */
chan network = [2] of { mtype, byte, byte, byte, byte };
/* worker, epoch, running, whether the job is there */
chan fenced[DAEMONS] = [2] of { byte, byte, byte, bool };

inline forget_shard() {
  own_epoch = 0;
  fences_sent = 0;
  fences_answered = 0;
  serving = false;
  job_known = false;
  free_capacity[0] = 1;
  free_capacity[1] = 1;
}

/* ownership::apply and the reaction of ownership::step to it. */
inline read_record() {
  d_step {
    if
    :: previous_epoch[position] == view_epoch ->
      view_epoch = position + 1;
      forget_shard();
      if
      :: claimant[position] == IDENTITY(self, incarnation) ->
        own_epoch = position + 1
      :: else
      fi
    :: else
    fi;
    position++
  }
}

/* Sends a start, which the worker may receive much later. */
inline send_start(worker) {
  atomic {
    free_capacity[worker]--;
    starts++;
    if
    :: !job_known ->
      job_known = true;
      network!start, worker, own_epoch, JOB, self
    :: job_known -> network!start, worker, own_epoch, OTHER, self
    fi
  }
}

proctype daemon(byte self) {
  byte incarnation = 0;
  byte position = 0;
  byte view_epoch = 0;
  byte own_epoch = 0;
  byte fences_sent = 0;
  byte fences_answered = 0;
  bool serving = false;
  bool job_known = false;
  byte free_capacity[WORKERS];
  byte worker, epoch, tasks;
  bool has_job;
  forget_shard();
  do
  /* Claim, even while the owner is alive, as membership may be wrong. */
  :: d_step {
      own_epoch == 0 && records < MAX_RECORDS ->
      claimant[records] = IDENTITY(self, incarnation);
      previous_epoch[records] = view_epoch;
      records++
    }
  :: position < records -> read_record()
  :: own_epoch != 0 && !(fences_sent & 1) && nfull(network) ->
    atomic { fences_sent = fences_sent | 1; network!fence, 0, own_epoch, 0, self }
  :: own_epoch != 0 && !(fences_sent & 2) && nfull(network) ->
    atomic { fences_sent = fences_sent | 2; network!fence, 1, own_epoch, 0, self }
  :: fenced[self]?worker, epoch, tasks, has_job ->
    d_step {
      if
      :: epoch == own_epoch && !(fences_answered & (1 << worker)) ->
        fences_answered = fences_answered | (1 << worker);
        free_capacity[worker] = (tasks >= 1 -> 0 : 1);
        job_known = job_known || has_job
      :: else
      fi;
      has_job = false;
      worker = 0;
      epoch = 0;
      tasks = 0
    }
#ifdef GRANT_BEFORE_RECONCILIATION
  :: own_epoch != 0 && !serving -> serving = true
#else
  :: own_epoch != 0 && !serving && fences_answered == ALL_WORKERS ->
    serving = true
#endif
  :: serving && starts < MAX_STARTS && free_capacity[0] > 0 && nfull(network) ->
    send_start(0)
  :: serving && starts < MAX_STARTS && free_capacity[1] > 0 && nfull(network) ->
    send_start(1)
  /* Failure and restart: all state is lost. */
  :: self == 0 && incarnation < MAX_RESTARTS ->
    d_step {
      incarnation++;
      position = 0;
      view_epoch = 0;
      forget_shard()
    }
  od
}

proctype worker_network() {
  byte worker, epoch, job, from;
  do
  :: atomic {
      network??fence, worker, epoch, job, from ->
      if
      :: epoch >= seen_epoch[worker] && nfull(fenced[from]) ->
        seen_epoch[worker] = epoch;
        fenced[from]!worker, epoch, running[worker], job_here[worker]
      :: else /* Rejected, or the reply is lost. */
      fi;
      worker = 0; epoch = 0; from = 0
    }
  :: atomic {
      network??start, worker, epoch, job, from ->
      if
#ifdef NO_EPOCH_CHECK
      :: true ->
#else
      :: epoch >= seen_epoch[worker] ->
#endif
        assert(epoch >= seen_epoch[worker]); /* Epochs never decrease. */
        seen_epoch[worker] = epoch;
        running[worker]++;
        assert(running[worker] <= 1); /* No over-commitment. */
        if
        :: job == JOB ->
          job_here[worker] = true;
          job_runs++;
          assert(job_runs <= 1) /* Never in two places. */
        :: else
        fi
      :: else
      fi;
      worker = 0; epoch = 0; job = 0; from = 0
    }
  /* Loss. */
  :: atomic {
      nempty(network) ->
      if
      :: network??fence, worker, epoch, job, from
      :: network??start, worker, epoch, job, from
      fi;
      worker = 0; epoch = 0; job = 0; from = 0
    }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run worker_network()
  }
}
