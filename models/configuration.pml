/*
 * Model of documents in force on every host: one document, HOSTS hosts of one
 * region, two operators with concurrent changes, and the table service.
 *
 * Assumptions:
 * - The table commits a change if the document has the version that the
 *   operator named and the change id is new. The response to a commit may be
 *   lost, and the commit may arrive at any later moment. The operator then
 *   retries with the same change id.
 * - Responses from the table and from peers arrive at any later moment
 *   (interleaving, with LATE_REPLIES), or never, so a peer's replica may be
 *   outdated. Each host has at most one response in transit. With two
 *   operators responses arrive at once, which limits the state space.
 * - A host restarts with no state, RESTARTS times in a run.
 * - A change is accepted when more than half of the hosts have confirmed it,
 *   each at its own moment. A confirmation from a process that has since died
 *   may be counted until the staleness bound has passed.
 * - Time: the staleness bound passes at the same moment for all processes
 *   (process bound_passes). By then, a host in rotation that cannot reach the
 *   store has adopted the documents of the hosts that it can reach, and leaves
 *   the rotation unless these are more than half. A host that can reach the
 *   store has read it. A host that starts without the store waits until the
 *   confirmations of its former process have expired, and counts only peers
 *   that it polled after that.
 * - Liveness: weak fairness. Every host polls the table and a peer
 *   alternately, and an operator polls all hosts in turn (IN_TURN).
 */
// verify: safety
// verify: safety -DOPERATORS=1 -DLATE_REPLIES
// verify: liveness in_force -DOPERATORS=1 -DRESTARTS=0 -DIN_TURN
// reject: safety -DOPERATORS=1 -DLATE_REPLIES -DTAKES_OLD_COPY
// reject: safety -DIGNORES_CONDITION
// reject: safety -DACCEPTS_AT_COMMIT
// reject: safety -DMINORITY_STAYS
// reject: safety -DSTARTS_AT_ONCE
// reject: safety -DOPERATORS=1 -DLATE_REPLIES -DCOUNTS_OLD_REPLIES
// reject: safety -DNEW_ID_AFTER_LOST_ANSWER
// reject: liveness in_force -DOPERATORS=1 -DRESTARTS=0 -DIN_TURN -DNEVER_READS

#define HOSTS 3
#define MAJORITY 2
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LOST
#define LOST 1
#endif

/* The table: the version, and whether each operator's change is committed. */
byte table_version = 0;
bool written[2];
byte committed_by[4] = 9;

/* The state of the hosts. */
byte held[HOSTS];
bool started[HOSTS];
byte responded_peers[HOSTS]; /* bit sets of peers */
byte confirmed[2]; /* bit sets of hosts */
byte stale[2];     /* hosts that have restarted since */

byte accepted = 0;
byte restarts = RESTARTS;
byte lost_responses = LOST;
byte operators_done = 0;

#ifdef STARTS_AT_ONCE
#define MAY_START(host) true
#else
#define MAY_START(host) (((stale[0] | stale[1]) & BIT(host)) == 0)
#endif

/* For the liveness checks: table and peers are polled in turn. */
#ifdef IN_TURN
#define IS_TURN(kind) (turn == kind)
#define PASS_TURN turn = 1 - turn;
#else
#define IS_TURN(kind) true
#define PASS_TURN skip;
#endif

/* Leaving an atomic sequence lets other steps run before the response. */
#ifdef LATE_REPLIES
#define RESPONSE_IN_TRANSIT } ; atomic {
#else
#define RESPONSE_IN_TRANSIT skip;
#endif

#ifdef COUNTS_OLD_REPLIES
#define IS_RECENT(moment) true
#else
#define IS_RECENT(moment) (moment == operators_done)
#endif

#define BIT(host) (1 << (host))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

inline commit(operator, expected, done)
{
    if
#ifdef IGNORES_CONDITION
    :: !written[operator] ->
#else
    :: table_version == expected && !written[operator] ->
#endif
        written[operator] = true;
#ifdef IGNORES_CONDITION
        table_version = expected + 1;
#else
        table_version++;
#endif
        assert(committed_by[table_version] == 9); /* one change per version */
        committed_by[table_version] = operator;
        done = true
    :: else -> done = written[operator]
    fi
}

bool delayed[2];
byte delayed_expected[2];

proctype operator(byte me)
{
    byte expected;
    byte version;
    byte next;
    bool done;

    expected = 0;
ask:
    atomic {
        if
        :: commit(me, expected, done)
        :: lost_responses > 0 && !delayed[me] ->
            lost_responses--;
            commit(me, expected, done);
            goto retry
        :: lost_responses > 0 && !delayed[me] ->
            lost_responses--;
            delayed[me] = true;
            delayed_expected[me] = expected;
            goto retry
        fi
    };
    if
    :: done -> goto confirm
    :: else -> goto conflict
    fi;

retry:
#ifdef NEW_ID_AFTER_LOST_ANSWER
    /* An already committed change is committed again. */
    atomic {
        if
        :: written[me] ->
            table_version++;
            committed_by[table_version] = me
        :: else
        fi;
        assert(committed_by[1] != me || committed_by[2] != me)
    };
#endif
    goto ask;

conflict:
    /* Received the current version; continues from it. */
    atomic {
        if
        :: written[me] -> goto confirm
        :: else -> expected = table_version
        fi
    };
    goto ask;

confirm:
    atomic {
        assert(written[me]); /* reported as committed only if committed */
        if
        :: committed_by[1] == me -> version = 1
        :: committed_by[2] == me -> version = 2
        :: else -> version = 3
        fi
    };
#ifdef ACCEPTS_AT_COMMIT
    confirmed[me] = 7;
#endif
    do
    :: COUNT(confirmed[me]) >= MAJORITY -> break
    :: else ->
        atomic {
#ifdef IN_TURN
            next = (next + 1) % HOSTS;
#else
            if
            :: next = 0
            :: next = 1
            :: next = 2
            fi;
#endif
            if
            :: held[next] >= version ->
                confirmed[me] = confirmed[me] | BIT(next);
                stale[me] = stale[me] & (7 - BIT(next))
            :: else
            fi
#ifndef IN_TURN
            ;
            next = 0
#endif
        }
    od;
    atomic {
        if
        :: version > accepted -> accepted = version
        :: else
        fi;
        /* Earlier confirmations and peer responses have expired. */
        next = 0;
        do
        :: next < HOSTS ->
            if
            :: !started[next] -> responded_peers[next] = 0
            :: else
            fi;
            next++
        :: else -> break
        od;
        next = 0;
        stale[me] = 0;
        confirmed[me] = 0;
        version = 0;
        expected = 0;
        done = false;
        operators_done++
    }
}

active proctype delayed_commits()
{
    bool done;
end:
    do
    :: atomic { delayed[0] -> delayed[0] = false;
                commit(0, delayed_expected[0], done);
                delayed_expected[0] = 0; done = false }
    :: atomic { delayed[1] -> delayed[1] = false;
                commit(1, delayed_expected[1], done);
                delayed_expected[1] = 0; done = false }
    od
}

inline adopt(me, version)
{
#ifdef TAKES_OLD_COPY
    assert(version >= held[me]);
    held[me] = version
#else
    if
    :: version > held[me] -> held[me] = version
    :: else
    fi
#endif
}

proctype host(byte me)
{
    byte version;
    byte peer;
    bool peer_started;
    byte requested_at;
    byte turn = 0;
end:
    do
    :: atomic {
           IS_TURN(0) ->
           PASS_TURN
#ifdef NEVER_READS
           goto end
#else
           version = table_version;
           RESPONSE_IN_TRANSIT
           adopt(me, version);
           started[me] = true;
           responded_peers[me] = 0;
           version = 0
#endif
       }
    :: atomic {
           IS_TURN(1) ->
           PASS_TURN
           if
           :: peer = (me + 1) % HOSTS
           :: peer = (me + 2) % HOSTS
           fi;
           version = held[peer];
           peer_started = started[peer];
           requested_at = operators_done;
           RESPONSE_IN_TRANSIT
           adopt(me, version);
           if
           :: peer_started && !started[me] && IS_RECENT(requested_at) ->
               responded_peers[me] = responded_peers[me] | BIT(peer)
           :: else
           fi;
           version = 0;
           peer = 0;
           requested_at = 0;
           peer_started = false
       }
    :: atomic {
           (!started[me] && COUNT(responded_peers[me]) >= MAJORITY &&
            MAY_START(me)) ->
           started[me] = true;
           responded_peers[me] = 0
       }
    :: atomic {
           restarts > 0 ->
           restarts--;
           stale[0] = stale[0] | (confirmed[0] & BIT(me));
           stale[1] = stale[1] | (confirmed[1] & BIT(me));
           held[me] = 0;
           started[me] = false;
           responded_peers[me] = 0
       }
    od
}

/* The staleness bound passes while one group of hosts is partitioned from the
   store and from the other hosts. */
active proctype bound_passes()
{
    byte group;
    byte newest;
    byte index;
end:
    do
    :: atomic {
           accepted > 0 ->
           if
           :: group = 1 :: group = 2 :: group = 3 :: group = 4
           :: group = 5 :: group = 6 :: group = 7
           fi;
           /* Only hosts that have started are counted. */
           index = 0;
           do
           :: index < HOSTS ->
               if
               :: (group & BIT(index)) && !started[index] ->
                   group = group & (7 - BIT(index))
               :: (group & BIT(index)) && started[index] &&
                  held[index] > newest -> newest = held[index]
               :: else
               fi;
               index++
           :: else -> break
           od;
           /* Hosts that stay in rotation have every accepted change. */
#ifdef MINORITY_STAYS
           assert(group == 0 || newest >= accepted);
#else
           assert(COUNT(group) < MAJORITY || newest >= accepted);
#endif
           group = 0;
           newest = 0;
           index = 0
       }
    od
}

init
{
    byte index = 0;
    atomic {
        do
        :: index < HOSTS -> started[index] = true; run host(index); index++
        :: else -> break
        od;
        run operator(0);
        if
        :: OPERATORS > 1 -> run operator(1)
        :: else
        fi;
        index = 0
    }
}

/* Both changes are accepted, and the latest is in force on every host. */
ltl in_force { <> (operators_done == OPERATORS && held[0] == table_version &&
                   held[1] == table_version && held[2] == table_version) }
