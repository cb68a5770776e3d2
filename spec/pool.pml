/* One task of a pool: its owner's claim, placements in the journal, starts that
 * arrive late or twice or not at all, stops, holds, ends, acknowledgements, a
 * worker's crash, and takeover by a later owner.
 *
 * A claim and a record are one step each, as the store takes appends one by one
 * and refuses those of an epoch below the newest. A hold is one step, as only
 * what its answer says counts. A start or a stop travels: it may be overtaken,
 * lost, or be there twice. The actions and the functions that they model are
 * listed in docs/PROOFS.md.
 *
 * Mutants: START_BEFORE_RECORD, ACK_BEFORE_RECORD, RESTART_WITHOUT_STOP,
 * DROP_UNVERIFIED, NO_FENCE.
 */
#define WORKERS 2
#ifndef MAX_CLAIMS
#define MAX_CLAIMS 2
#endif
#ifndef MAX_RUNS
#define MAX_RUNS 2
#endif
#define MAX_CRASHES 1
#define NOWHERE 2 /* Instead of a worker. */

mtype = { start, stop };

/* The journal. */
byte newest_epoch = 0;
byte last_run = 0;
byte placed_on = NOWHERE;
bool recorded_done = false;

/* The workers. */
byte fence[WORKERS];
byte incarnation[WORKERS];
byte alive[WORKERS];  /* The run that is alive; 0: none. */
byte closed[WORKERS]; /* Highest run that ended or was stopped. */
byte ended_done[WORKERS]; /* A run whose good end is listed; 0: none. */
byte crashes = 0;
bool acknowledged_done = false;

/* kind, worker, its incarnation, epoch, run */
chan network = [2] of { mtype, byte, byte, byte, byte };

inline begin_run(w, number) {
  assert(alive[1 - w] == 0); /* Never two runs at a time. */
  assert(!acknowledged_done); /* Nor one after an acknowledged good end. */
  alive[w] = number;
}

proctype worker(byte w) {
  byte life, epoch, number;
end:
  do
  :: network??start, eval(w), life, epoch, number ->
     atomic {
       if
       :: life != incarnation[w] -> skip
#ifndef NO_FENCE
       :: life == incarnation[w] && epoch < fence[w] -> skip
#endif
       :: else ->
          fence[w] = (epoch > fence[w] -> epoch : fence[w]);
          if
          :: number > closed[w] && alive[w] == 0 -> begin_run(w, number)
          :: else -> skip
          fi
       fi
     }
  :: network??stop, eval(w), life, epoch, number ->
     atomic {
       if
       :: life != incarnation[w] || epoch < fence[w] -> skip
       :: else ->
          fence[w] = epoch;
          closed[w] = (number > closed[w] -> number : closed[w]);
          if
          :: alive[w] != 0 && alive[w] <= number -> alive[w] = 0
          :: else -> skip
          fi
       fi
     }
  :: atomic { alive[w] != 0 -> /* The task is done. */
       ended_done[w] = alive[w];
       closed[w] = alive[w];
       alive[w] = 0
     }
  :: atomic { crashes < MAX_CRASHES ->
       crashes++;
       incarnation[w]++;
       alive[w] = 0;
       closed[w] = 0;
       ended_done[w] = 0;
       fence[w] = 0
     }
  od
}

/* Orders may vanish. */
proctype loss() {
  byte w, life, epoch, number;
end:
  do
  :: network??start, w, life, epoch, number
  :: network??stop, w, life, epoch, number
  od
}

inline forget_place() {
  where = NOWHERE;
  sent = false;
  stopped = false
}

proctype owner() {
  byte epoch = 0;
  byte where = NOWHERE;
  byte number = 0;
  byte life = 0;     /* Incarnation of the worker, as known when placed. */
  bool done = false;
  bool unverified = false;
  bool sent = false; /* A start has left. */
  bool stopped = false; /* A stop was confirmed. */
end:
  do
  /* Claim; what the journal holds is known. */
  :: atomic { newest_epoch < MAX_CLAIMS ->
       newest_epoch++;
       epoch = newest_epoch;
       number = last_run;
       where = placed_on;
       done = recorded_done;
       unverified = (where != NOWHERE);
       sent = false;
       stopped = false
     }
  /* Choose a worker and record it: refused if another owner has claimed. */
  :: atomic { epoch != 0 && !done && where == NOWHERE && last_run < MAX_RUNS ->
       if
       :: where = 0
       :: where = 1
       fi;
       life = incarnation[where];
       unverified = false;
#ifdef START_BEFORE_RECORD
       number = number + 1;
       if
       :: nfull(network) -> network!start, where, life, epoch, number; sent = true
       :: full(network) -> skip
       fi
     };
     atomic {
       if
       :: epoch == newest_epoch -> last_run = number; placed_on = where
       :: else -> epoch = 0; forget_place()
       fi
     }
#else
       if
       :: epoch == newest_epoch ->
          last_run++;
          number = last_run;
          placed_on = where
       :: else -> epoch = 0; forget_place()
       fi
     }
#endif
  /* The start, and copies of it. */
  :: atomic { epoch != 0 && where != NOWHERE && !unverified && !stopped &&
       nfull(network) ->
       network!start, where, life, epoch, number;
       sent = true
     }
  :: atomic { epoch != 0 && where != NOWHERE && !unverified && sent &&
       nfull(network) ->
       network!stop, where, life, epoch, number
     }
  /* A hold of the worker where the task is placed. */
  :: atomic { epoch != 0 && where != NOWHERE ->
       if
       :: epoch < fence[where] -> epoch = 0; forget_place() /* Deposed. */
       :: else ->
          fence[where] = epoch;
          if
          :: ended_done[where] != 0 -> /* Record, then acknowledge. */
#ifdef ACK_BEFORE_RECORD
             ended_done[where] = 0;
             acknowledged_done = true;
#endif
             if
             :: epoch == newest_epoch ->
                recorded_done = true;
                placed_on = NOWHERE;
                done = true;
                if
                :: ended_done[where] != 0 -> acknowledged_done = true
                :: else -> skip
                fi;
                ended_done[where] = 0;
                forget_place()
             :: else -> epoch = 0; forget_place()
             fi
          :: ended_done[where] == 0 && alive[where] == number -> unverified = false;
             life = incarnation[where]; sent = true
          :: ended_done[where] == 0 && alive[where] != number ->
             if
             /* The fence keeps out orders of earlier owners. */
             :: unverified -> placed_on =
                  (epoch == newest_epoch -> NOWHERE : placed_on);
                  forget_place()
             /* Orders name the incarnation, so none reaches a later one. */
             :: !unverified && life != incarnation[where] -> forget_place()
             /* Stopped, or ended in a way that is not good. */
             :: !unverified && closed[where] >= number -> forget_place()
#ifdef RESTART_WITHOUT_STOP
             :: !unverified && sent -> forget_place()
#endif
             :: else -> skip
             fi
          fi
       fi
     }
#ifdef DROP_UNVERIFIED
  :: atomic { epoch != 0 && unverified -> forget_place(); unverified = false }
#endif
  od
}

init {
  atomic {
    run worker(0);
    run worker(1);
    run owner();
    run owner();
    run loss()
  }
}
