/* One task of a pool: its owner's claim, placements in the journal, starts that
 * arrive late, twice or not at all, stops, worker polls, ends,
 * acknowledgements, a worker's crash, and takeover by a later owner.
 *
 * A claim and a record are one step each, as the store serializes appends and
 * rejects those with an epoch below the newest. A worker poll is one step, as
 * it takes effect only with its reply. A start or a stop is a message that may
 * be overtaken, lost or duplicated. The actions and the functions that they
 * model are listed in docs/PROOFS.md.
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
#define NOWHERE 2 /* Value of placed_on without a worker. */

mtype = { start, stop };

/* The journal. */
byte newest_epoch = 0;
byte last_run = 0;
byte placed_on = NOWHERE;
bool recorded_done = false;

/* The workers. */
byte fence[WORKERS];
byte incarnation[WORKERS];
byte alive[WORKERS];  /* Number of the running run; 0: none. */
byte closed[WORKERS]; /* Highest run that ended or was stopped. */
byte ended_done[WORKERS]; /* Run whose successful end is listed; 0: none. */
byte crashes = 0;
bool acknowledged_done = false;

/* kind, worker, incarnation of the worker, epoch, run */
chan network = [2] of { mtype, byte, byte, byte, byte };

inline begin_run(w, number) {
  assert(alive[1 - w] == 0); /* Never two runs at a time. */
  assert(!acknowledged_done); /* No run after an acknowledged success. */
  alive[w] = number;
}

proctype worker(byte w) {
  byte order_incarnation, epoch, number;
end:
  do
  :: network??start, eval(w), order_incarnation, epoch, number ->
     atomic {
       if
       :: order_incarnation != incarnation[w] -> skip
#ifndef NO_FENCE
       :: order_incarnation == incarnation[w] && epoch < fence[w] -> skip
#endif
       :: else ->
          fence[w] = (epoch > fence[w] -> epoch : fence[w]);
          if
          :: number > closed[w] && alive[w] == 0 -> begin_run(w, number)
          :: else -> skip
          fi
       fi
     }
  :: network??stop, eval(w), order_incarnation, epoch, number ->
     atomic {
       if
       :: order_incarnation != incarnation[w] || epoch < fence[w] -> skip
       :: else ->
          fence[w] = epoch;
          closed[w] = (number > closed[w] -> number : closed[w]);
          if
          :: alive[w] != 0 && alive[w] <= number -> alive[w] = 0
          :: else -> skip
          fi
       fi
     }
  :: atomic { alive[w] != 0 -> /* The task completes. */
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

/* Loses starts and stops. */
proctype loss() {
  byte w, order_incarnation, epoch, number;
end:
  do
  :: network??start, w, order_incarnation, epoch, number
  :: network??stop, w, order_incarnation, epoch, number
  od
}

inline clear_placement() {
  chosen = NOWHERE;
  sent = false;
  stopped = false
}

proctype owner() {
  byte epoch = 0;
  byte chosen = NOWHERE;
  byte number = 0;
  byte order_incarnation = 0; /* Of the worker, at the placement. */
  bool done = false;
  bool unverified = false;
  bool sent = false; /* A start was sent. */
  bool stopped = false; /* A stop was confirmed. */
end:
  do
  /* Claim; the owner has read the whole journal. */
  :: atomic { newest_epoch < MAX_CLAIMS ->
       newest_epoch++;
       epoch = newest_epoch;
       number = last_run;
       chosen = placed_on;
       done = recorded_done;
       unverified = (chosen != NOWHERE);
       sent = false;
       stopped = false
     }
  /* Choose a worker and record it; rejected if another owner has claimed. */
  :: atomic { epoch != 0 && !done && chosen == NOWHERE && last_run < MAX_RUNS ->
       if
       :: chosen = 0
       :: chosen = 1
       fi;
       order_incarnation = incarnation[chosen];
       unverified = false;
#ifdef START_BEFORE_RECORD
       number = number + 1;
       if
       :: nfull(network) ->
          network!start, chosen, order_incarnation, epoch, number;
          sent = true
       :: full(network) -> skip
       fi
     };
     atomic {
       if
       :: epoch == newest_epoch -> last_run = number; placed_on = chosen
       :: else -> epoch = 0; clear_placement()
       fi
     }
#else
       if
       :: epoch == newest_epoch ->
          last_run++;
          number = last_run;
          placed_on = chosen
       :: else -> epoch = 0; clear_placement()
       fi
     }
#endif
  /* Send the start, perhaps repeatedly. */
  :: atomic { epoch != 0 && chosen != NOWHERE && !unverified && !stopped &&
       nfull(network) ->
       network!start, chosen, order_incarnation, epoch, number;
       sent = true
     }
  :: atomic { epoch != 0 && chosen != NOWHERE && !unverified && sent &&
       nfull(network) ->
       network!stop, chosen, order_incarnation, epoch, number
     }
  /* Poll the worker where the task is placed. */
  :: atomic { epoch != 0 && chosen != NOWHERE ->
       if
       :: epoch < fence[chosen] -> /* Superseded. */
          epoch = 0;
          clear_placement()
       :: else ->
          fence[chosen] = epoch;
          if
          :: ended_done[chosen] != 0 -> /* Record, then acknowledge. */
#ifdef ACK_BEFORE_RECORD
             ended_done[chosen] = 0;
             acknowledged_done = true;
#endif
             if
             :: epoch == newest_epoch ->
                recorded_done = true;
                placed_on = NOWHERE;
                done = true;
                if
                :: ended_done[chosen] != 0 -> acknowledged_done = true
                :: else -> skip
                fi;
                ended_done[chosen] = 0;
                clear_placement()
             :: else -> epoch = 0; clear_placement()
             fi
          :: ended_done[chosen] == 0 && alive[chosen] == number ->
             unverified = false;
             order_incarnation = incarnation[chosen]; sent = true
          :: ended_done[chosen] == 0 && alive[chosen] != number ->
             if
             /* The fence rejects orders of earlier owners. */
             :: unverified -> placed_on =
                  (epoch == newest_epoch -> NOWHERE : placed_on);
                  clear_placement()
             /* A later incarnation rejects orders to an earlier one. */
             :: !unverified && order_incarnation != incarnation[chosen] ->
                clear_placement()
             /* Stopped, or ended without success. */
             :: !unverified && closed[chosen] >= number -> clear_placement()
#ifdef RESTART_WITHOUT_STOP
             :: !unverified && sent -> clear_placement()
#endif
             :: else -> skip
             fi
          fi
       fi
     }
#ifdef DROP_UNVERIFIED
  :: atomic { epoch != 0 && unverified ->
       clear_placement();
       unverified = false
     }
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
