// Model of draining: a planned role change interrupts no request.
//
// One router, two successive lease holders and one target. Models the class
// drain_coordinator of modules/authority, with routers that behave as its
// comment requires.
//
// Assumptions:
// - Time is divided into steps, and a permission lasts TERM steps. The router
//   counts them from before it sent its request, and the holder from when it
//   granted the permission. Both clocks run at the same rate; the margin in
//   the implementation covers clock drift and the transit time of requests.
// - A grant may be in transit for any time. A stop announcement and its
//   confirmation may be lost any number of times. A partitioned router
//   receives no announcement, and grants in transit reach it late.
// - The first holder may be replaced at any step. It may continue to grant
//   permissions for any time, with its targets unchanged, but issues no more
//   orders. It is reported as stopped only when it no longer grants.
// - The target's report of being idle is made at the time of the request.
// - Routers share nothing but the target, and a holder waits for each of them
//   separately, so one router represents all of them.
// - Bounds: grants until step LAST, one grant in transit, two concurrent
//   requests.
//
// Safety: when the order reaches the target, the target has no request in
// flight and no router may send one. Liveness, under weak fairness, once all
// permissions have expired and the first holder no longer grants: the order is
// sent.
//
// verify: safety
// verify: liveness settled
// reject: safety -DTERM_FROM_ANSWER
// reject: safety -DNO_WAIT_FOR_LAPSE
// reject: safety -DNO_WAIT_FOR_FORMER
// reject: safety -DGRANT_WITHOUT_STOP
// reject: safety -DIDLE_SEEN_BEFORE
// reject: liveness settled -DONLY_CONFIRMED

#define TERM 2
#define LAST 6
#define ROUTERS 1

byte now;

// The routers: when their permission to send ends, whether and from which
// holder they received the stop, and their requests in flight at the target.
byte permitted_until[ROUTERS];
bit stopped[ROUTERS];
byte newest[ROUTERS];
byte at_target;

// One grant in transit to each router: its holder, the time of the request for
// it, and whether it lists the target as stopped.
byte grant_from[ROUTERS], grant_requested_at[ROUTERS];
bit grant_stops[ROUTERS];

// The state of holders 1 and 2.
byte holder = 1;
bit granting[3], draining[3], former_stopped, ordered, idle_seen;
byte former_until;
bit holder_changed;
// The end of the last permission before the stop, by holder and router.
byte granted[3];
bit confirmed[3];

#define AT(h, r) ((h) * ROUTERS + (r))

// A router requests a permission and a holder grants it; the response is then
// in transit.
inline request_permission(r, h)
{
    atomic { granting[h] && now < LAST && grant_from[r] == 0 ->
        grant_from[r] = h;
        grant_requested_at[r] = now;
#ifdef GRANT_WITHOUT_STOP
        grant_stops[r] = 0;
#else
        grant_stops[r] = draining[h];
#endif
        if
        :: !draining[h] -> granted[AT(h, r)] = now + TERM
        :: else
        fi }
}

inline receive(r)
{
    atomic { grant_from[r] != 0 ->
        if
        :: grant_from[r] >= newest[r] ->
            if
            :: grant_from[r] > newest[r] || grant_stops[r] ->
                stopped[r] = grant_stops[r]
            :: else
            fi;
            newest[r] = grant_from[r];
#ifdef TERM_FROM_ANSWER
            permitted_until[r] = now + TERM
#else
            if
            :: grant_requested_at[r] + TERM > permitted_until[r] ->
                permitted_until[r] = grant_requested_at[r] + TERM
            :: else
            fi
#endif
        :: else
        fi;
        grant_from[r] = 0;
        grant_requested_at[r] = 0;
        grant_stops[r] = 0 }
}

// The announcement arrives, with or without its confirmation.
inline announce(r, h)
{
    atomic { draining[h] && !confirmed[AT(h, r)] && newest[r] <= h ->
        newest[r] = h;
        stopped[r] = 1;
        if
        :: confirmed[AT(h, r)] = 1
        :: true
        fi }
}

#define MAY_SEND(r) (!stopped[r] && now < permitted_until[r])

proctype router(byte r)
{
end:
    do
    :: request_permission(r, 1)
    :: request_permission(r, 2)
    :: receive(r)
    :: announce(r, 1)
    :: announce(r, 2)
    :: atomic { !ordered && MAY_SEND(r) && at_target < 2 -> at_target++ }
    od
}

active proctype target()
{
end:
    do
    :: atomic { at_target > 0 -> at_target-- }
    od
}

active proctype time()
{
end:
    do
    :: atomic { now < LAST -> now++ }
    :: atomic { now >= LAST && now < LAST + TERM && holder_changed -> now++ }
    od
}

#ifdef NO_WAIT_FOR_LAPSE
#define LAPSED(h, r) true
#elif defined(ONLY_CONFIRMED)
#define LAPSED(h, r) false
#else
#define LAPSED(h, r) (now >= granted[AT(h, r)])
#endif

#define CLOSED_BY(h, r) (confirmed[AT(h, r)] || LAPSED(h, r))

#ifdef NO_WAIT_FOR_FORMER
#define FORMER_OVER true
#else
#define FORMER_OVER (holder == 1 || (former_stopped && now >= former_until))
#endif

inline order(h)
{
    ordered = 1;
    assert(at_target == 0);
    assert(!MAY_SEND(0))
}

proctype controller(byte h)
{
end:
    do
    :: atomic { holder == h && !draining[h] && !ordered -> draining[h] = 1 }
#ifdef IDLE_SEEN_BEFORE
    :: atomic { at_target == 0 -> idle_seen = 1 }
    :: atomic { holder == h && draining[h] && !ordered && FORMER_OVER &&
        CLOSED_BY(h, 0) && idle_seen -> order(h) }
#else
    :: atomic { holder == h && draining[h] && !ordered && FORMER_OVER &&
        CLOSED_BY(h, 0) && at_target == 0 -> order(h) }
#endif
    od
}

// The second holder takes over at some time; the first continues to grant.
active proctype change_of_holder()
{
    // All processes have started.
    granting[1];
    if
    :: atomic { holder == 1 && now < 3 -> holder = 2; granting[2] = 1 }
    :: now >= 3 -> goto over
    fi;
    atomic { granting[1] = 0; former_stopped = 1; former_until = now + TERM };
over:
    holder_changed = 1
}

init
{
    atomic {
        granting[1] = 1;
        run router(0);
        run controller(1);
        run controller(2)
    }
}

ltl settled { <> (ordered == 1) }
