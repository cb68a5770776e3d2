/* The bundle in force at two daemons.
 *
 * Concurrent rolls are ordered by the log; each names the version that it
 * replaces. Records expire. Any daemon may write a snapshot, perhaps late, that
 * repeats the bundle in force. A restarted daemon gets the bundle from the log
 * or from a peer, whose message may be outdated.
 *
 * Mutants: OLDER_BUNDLE, ROLL_WITHOUT_REPLACES.
 */
#define DAEMONS 2
#define MAX_RECORDS 3
#define MAX_RESTARTS 1

mtype = { roll, snapshot };

/* The log. The version of a record is its offset + 1. */
mtype kind[MAX_RECORDS];
byte replaces[MAX_RECORDS]; /* Of a roll: the roll that it replaces. */
byte stated[MAX_RECORDS];   /* Of a snapshot: the roll in force. */
byte records = 0;
byte first = 0; /* Older records have expired. */

byte winners[MAX_RECORDS + 1]; /* Accepted rolls that replaced this version. */

byte in_force[DAEMONS];

chan peers = [2] of { byte, byte }; /* to, roll */

inline put_in_force(number) {
  assert(number >= in_force[self]); /* Never an older bundle. */
  in_force[self] = number
}

proctype daemon(byte self) {
  byte position = 0;
  byte incarnation = 0;
  byte number = 0;
  do
  /* bundle::apply */
  :: d_step {
      position < records && position >= first ->
      if
      :: kind[position] == roll &&
#ifdef ROLL_WITHOUT_REPLACES
         true ->
#else
         replaces[position] == in_force[self] ->
#endif
        put_in_force(position + 1)
      :: kind[position] == snapshot &&
#ifdef OLDER_BUNDLE
         true ->
#else
         stated[position] > in_force[self] ->
#endif
        put_in_force(stated[position])
      :: else
      fi;
      position++
    }
  :: d_step { position < first -> position = first }
  /* An operator rolls a bundle through this daemon. */
  :: d_step {
      records < MAX_RECORDS ->
      kind[records] = roll;
      replaces[records] = in_force[self];
      records++
    }
  /* Writes a snapshot of this daemon's bundle in force. */
  :: d_step {
      records < MAX_RECORDS && in_force[self] != 0 ->
      kind[records] = snapshot;
      stated[records] = in_force[self];
      records++
    }
  :: atomic {
      in_force[self] != 0 && nfull(peers) -> peers!1 - self, in_force[self]
    }
  /* bundle::apply_snapshot */
  :: atomic {
      peers??eval(self), number ->
      if
#ifdef OLDER_BUNDLE
      :: true ->
#else
      :: number > in_force[self] ->
#endif
        put_in_force(number)
      :: else
      fi;
      number = 0
    }
  :: d_step {
      incarnation < MAX_RESTARTS ->
      incarnation++;
      in_force[self] = 0;
      position = first
    }
  od
}

/* One of several concurrent rolls wins: a reader of the whole log sees each
 * version replaced by at most one accepted roll. */
proctype reader() {
  byte position = 0;
  byte seen = 0;
  do
  :: d_step {
      position < records && position >= first ->
      if
      :: kind[position] == roll &&
#ifdef ROLL_WITHOUT_REPLACES
         true ->
#else
         replaces[position] == seen ->
#endif
        winners[replaces[position]]++;
        assert(winners[replaces[position]] <= 1);
        seen = position + 1
      :: else
      fi;
      position++
    }
  od
}

proctype expiry() {
  do
  :: d_step { first < records -> first++ }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run reader();
    run expiry()
  }
}
