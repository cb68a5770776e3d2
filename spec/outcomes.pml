/* One request id: its submissions to two daemons, its starts and its outcomes.
 *
 * Without IDEMPOTENT the request may run at most once. Workers are not fenced
 * in this case, as the new owner may be unable to reach them; only the intent
 * and the second read of the claims guarantee the property. With IDEMPOTENT the
 * request may run again, but not in two places at once, and the new owner
 * fences first.
 *
 * Start messages are delayed, reordered and lost; replies to starts are lost;
 * appends take effect but their reply is lost, or they fail (outage); daemons
 * freeze, fail and restart; the caller resubmits the id to either daemon.
 *
 * Mutants: NOT_RUN_AFTER_START, RETRY_NON_IDEMPOTENT,
 * NO_CLAIMS_READ_AFTER_INTENT, INTENTS_READ_BEFORE_CLAIM, OWN_INTENTS_NOT_READ,
 * ADMIT_FOUND_INTENT; with IDEMPOTENT RETRY_BEFORE_STOP, SERVE_BEFORE_FENCING.
 */
#define DAEMONS 2
#define WORKERS 2
#define SUBMISSIONS 2
#ifndef MAX_RECORDS
#define MAX_RECORDS 3
#endif
#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 3
#endif
#define MAX_RESTARTS 1
#define WRITERS 4 /* daemon * 2 + incarnation */

/* Phases of the request at a daemon. */
#define ABSENT 0
#define QUEUED 1
#define INTENT_WAIT 2
#define INTENT_WRITTEN 3
#define MAY_START 4
#define STARTING 5
#define STOPPING 6
#define FINAL 7

/* Outcomes. */
#define NONE 0
#define NOT_RUN 1
#define UNKNOWN 2
#define ANSWERED 3

#define IDENTITY(d, incarnation) (d * 2 + incarnation)

/* Whether a resubmitted id is a new request after this outcome. */
#ifdef ADMIT_FOUND_INTENT
#define STARTS_AFRESH(outcome) (outcome == NOT_RUN || outcome == UNKNOWN)
#else
#define STARTS_AFRESH(outcome) (outcome == NOT_RUN)
#endif

/* The log. */
byte claimant[MAX_RECORDS];
byte previous_epoch[MAX_RECORDS];
byte records = 0;
bool intent[WRITERS];

/* The callers. */
byte sent_to[SUBMISSIONS]; /* Daemon + 1; 0: not yet sent, or received. */
byte submitted = 0;
byte reported_outcome[SUBMISSIONS];

/* The workers, and counts of all runs. */
byte seen_epoch[WORKERS];
byte runs = 0;         /* Runs that have ever begun. */
byte runs_now = 0;
byte run_for = 0;      /* Set of submissions for which a run has begun. */
byte task[WORKERS];    /* Running attempt; 0: none. */
bool has_ended[WORKERS];
bool was_stopped[WORKERS];
byte attempts = 0;
bool revoked[MAX_ATTEMPTS + 1];

/* worker, epoch, attempt, submissions, writer */
chan network = [2] of { byte, byte, byte, byte, byte };

inline report_outcome(outcome) {
  if
  :: waiting & 1 ->
    reported_outcome[0] = outcome;
    assert(outcome != NOT_RUN || !(run_for & 1)) /* No false "not run". */
  :: else
  fi;
  if
  :: waiting & 2 ->
    reported_outcome[1] = outcome;
    assert(outcome != NOT_RUN || !(run_for & 2))
  :: else
  fi;
  waiting = 0;
  final_outcome = outcome;
  phase = FINAL
}

inline forget_request() {
  phase = ABSENT;
  waiting = 0;
  final_outcome = NONE;
  attempt = 0;
  at_worker = 0;
  ran = false
}

inline read_record() {
  if
  :: previous_epoch[position] == view_epoch ->
    view_epoch = position + 1;
    forget_request();
    serving = false;
    fenced = 0;
    if
    :: claimant[position] == IDENTITY(self, incarnation) ->
      own_epoch = position + 1
    :: else -> own_epoch = 0
    fi
  :: else
  fi;
  position++
}

/* Whether an intent for the request exists. It may be this daemon's own, from
 * an earlier epoch. */
#ifdef OWN_INTENTS_NOT_READ
#define IS_READ(writer, d, incarnation) (writer != IDENTITY(d, incarnation))
#else
#define IS_READ(writer, d, incarnation) true
#endif
#define INTENT_FOUND(d, incarnation)          \
  ((intent[0] && IS_READ(0, d, incarnation)) ||   \
   (intent[1] && IS_READ(1, d, incarnation)) ||   \
   (intent[2] && IS_READ(2, d, incarnation)) ||   \
   (intent[3] && IS_READ(3, d, incarnation)))

#ifdef INTENTS_READ_BEFORE_CLAIM
#define EARLY_BY_DEFAULT false
#else
#define EARLY_BY_DEFAULT true
#endif

proctype daemon(byte self) {
  bool read_early = EARLY_BY_DEFAULT;
  byte incarnation = 0;
  byte position = 0;
  byte view_epoch = 0;
  byte own_epoch = 0;
  byte fenced = 0;
  bool serving = false;
  bool found = false;
  byte phase = ABSENT;
  byte waiting = 0; /* Set of submissions that wait for an outcome. */
  byte final_outcome = NONE;
  byte attempt = 0;
  byte at_worker = 0;
  bool ran = false; /* An earlier attempt has run. */
  byte s = 0;
  do
  /* ---- Ownership ---- */
#ifdef INTENTS_READ_BEFORE_CLAIM
  :: d_step {
      own_epoch == 0 && !read_early ->
      read_early = true;
      found = INTENT_FOUND(self, incarnation)
    }
#endif
  :: d_step {
      own_epoch == 0 && records < MAX_RECORDS && read_early ->
      read_early = EARLY_BY_DEFAULT;
      claimant[records] = IDENTITY(self, incarnation);
      previous_epoch[records] = view_epoch;
      records++
    }
  :: position < records -> d_step { read_record() }
#ifdef IDEMPOTENT
  :: own_epoch != 0 && !serving && fenced < WORKERS ->
    d_step { /* Fence a worker; its reply lists running and ended tasks. */
      if
      :: own_epoch >= seen_epoch[fenced] ->
        seen_epoch[fenced] = own_epoch;
        if
        :: task[fenced] != 0 ->
          phase = STARTING;
          attempt = task[fenced];
          at_worker = fenced
        :: has_ended[fenced] && phase == ABSENT ->
          phase = FINAL;
          final_outcome = ANSWERED
        :: else
        fi;
        ran = ran || was_stopped[fenced];
        fenced++
      :: else
      fi
    }
#ifdef SERVE_BEFORE_FENCING
  :: own_epoch != 0 && !serving -> serving = true
#else
  :: own_epoch != 0 && !serving && fenced == WORKERS -> serving = true
#endif
#else
  :: own_epoch != 0 && !serving ->
    d_step { /* Read the intents of every earlier writer. */
#ifndef INTENTS_READ_BEFORE_CLAIM
      found = INTENT_FOUND(self, incarnation);
#endif
      serving = true;
      if
      :: found -> phase = FINAL; final_outcome = UNKNOWN
      :: else
      fi
    }
#endif

  /* ---- Submission: a repeated id joins the first submission ---- */
  :: serving && (sent_to[0] == self + 1 || sent_to[1] == self + 1) ->
    d_step {
      s = (sent_to[0] == self + 1 -> 0 : 1);
      sent_to[s] = 0;
      waiting = waiting | (1 << s);
      if
      :: phase == ABSENT -> phase = QUEUED
      :: phase == FINAL && STARTS_AFRESH(final_outcome) ->
        phase = QUEUED;
        final_outcome = NONE
      :: phase == FINAL && !STARTS_AFRESH(final_outcome) ->
        report_outcome(final_outcome)
      :: else
      fi;
      s = 0
    }
  /* Refused, cancelled or expired before a start. */
  :: phase == QUEUED || phase == INTENT_WAIT || phase == INTENT_WRITTEN ||
     phase == MAY_START ->
    d_step {
      if
      :: ran -> report_outcome(ANSWERED) /* With the end "stopped". */
      :: else -> report_outcome(NOT_RUN)
      fi
    }

  /* ---- Starts ---- */
#ifdef IDEMPOTENT
  :: serving && phase == QUEUED && attempts < MAX_ATTEMPTS -> phase = MAY_START
#else
  :: serving && phase == QUEUED && attempts < MAX_ATTEMPTS ->
    phase = INTENT_WAIT
  :: phase == INTENT_WAIT ->
    atomic {
      if
      :: intent[IDENTITY(self, incarnation)] = true; phase = INTENT_WRITTEN
      :: /* Written, but the reply is lost. */
        intent[IDENTITY(self, incarnation)] = true;
        d_step { report_outcome(NOT_RUN) }
      :: /* Outage. */
        d_step { report_outcome(NOT_RUN) }
      fi
    }
  :: phase == INTENT_WRITTEN ->
#ifdef NO_CLAIMS_READ_AFTER_INTENT
    phase = MAY_START
#else
    d_step { /* Read all claims; losing the shard drops the request. */
      do
      :: position < records -> read_record()
      :: else -> break
      od;
      if
      :: phase == INTENT_WRITTEN && own_epoch != 0 -> phase = MAY_START
      :: else
      fi
    }
#endif
#endif
  :: atomic {
      phase == MAY_START && attempts < MAX_ATTEMPTS && nfull(network) ->
      attempts++;
      attempt = attempts;
      if
      :: at_worker = 0
      :: at_worker = 1
      fi;
      phase = STARTING;
      network!at_worker, own_epoch, attempt, waiting,
        IDENTITY(self, incarnation)
    }
  /* The worker has reported the end of the task. */
  :: phase == STARTING && has_ended[at_worker] && task[at_worker] == 0 ->
    d_step { report_outcome(ANSWERED) }
  /* No reply to the start. */
  :: phase == STARTING ->
#ifdef IDEMPOTENT
#ifdef RETRY_BEFORE_STOP
    phase = MAY_START
#else
    phase = STOPPING
#endif
#else
#ifdef NOT_RUN_AFTER_START
    d_step { report_outcome(NOT_RUN) }
#else
#ifdef RETRY_NON_IDEMPOTENT
    phase = MAY_START
#else
    d_step { report_outcome(UNKNOWN) }
#endif
#endif
#endif
  /* The stop reaches the worker: the attempt ends, or will never start. */
  :: d_step {
      phase == STOPPING && own_epoch >= seen_epoch[at_worker] ->
      seen_epoch[at_worker] = own_epoch;
      if
      :: task[at_worker] == attempt ->
        task[at_worker] = 0;
        was_stopped[at_worker] = true;
        ran = true;
        runs_now--
      :: else -> revoked[attempt] = true
      fi;
      if
      :: has_ended[at_worker] -> report_outcome(ANSWERED)
      :: else -> phase = MAY_START
      fi
    }

  /* ---- Failure and restart ---- */
  :: self == 0 && incarnation < MAX_RESTARTS ->
    d_step {
      incarnation++;
      position = 0;
      view_epoch = 0;
      own_epoch = 0;
      fenced = 0;
      serving = false;
      found = false;
      forget_request()
    }
  od
}

proctype callers() {
  do
  :: submitted < SUBMISSIONS ->
    atomic {
      if
      :: sent_to[submitted] = 1
      :: sent_to[submitted] = 2
      fi;
      submitted++
    }
  od
}

proctype workers() {
  byte worker, epoch, number, submissions, writer;
  do
  :: atomic {
      network??worker, epoch, number, submissions, writer ->
      if
#ifdef IDEMPOTENT
      :: epoch >= seen_epoch[worker] && !revoked[number] ->
        seen_epoch[worker] = epoch;
#else
      :: true ->
#endif
        runs++;
        runs_now++;
        task[worker] = number;
        run_for = run_for | submissions;
#ifndef IDEMPOTENT
        assert(runs <= 1); /* At most once. */
#endif
        assert(runs_now <= 1); /* Never in two places. */
        /* No false "not run". */
        assert(!(submissions & 1) || reported_outcome[0] != NOT_RUN);
        assert(!(submissions & 2) || reported_outcome[1] != NOT_RUN)
      :: else
      fi;
      worker = 0; epoch = 0; number = 0; submissions = 0; writer = 0
    }
  :: atomic { /* Loss. */
      network??worker, epoch, number, submissions, writer ->
      worker = 0; epoch = 0; number = 0; submissions = 0; writer = 0
    }
  :: d_step { task[0] != 0 -> task[0] = 0; has_ended[0] = true; runs_now-- }
  :: d_step { task[1] != 0 -> task[1] = 0; has_ended[1] = true; runs_now-- }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run callers();
    run workers()
  }
}
