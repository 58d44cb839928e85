/*
 * Model of requests that run at most once: one idempotency key, CALLS calls
 * with that key at different routers, and one row in the table service.
 *
 * Assumptions:
 * - The table service commits a transaction if the row has the version that
 *   the transaction names. A version is never reused.
 * - A write may be applied with its response lost, may be lost, or may be
 *   applied at any later moment after its writer abandoned it, even after the
 *   writer died. FAULTS bounds how often this happens in a run, and KILLS how
 *   often a router dies. Each process has at most one delayed write in
 *   transit.
 * - A router may pause between any two steps (interleaving), and may die
 *   before any step. A dead router sends nothing more, except for the write
 *   that is already in transit.
 * - A row keeps the id of the call that claimed it until it is claimed again.
 * - The target runs a call at once, refuses it as not run, or loses the
 *   connection. After a lost connection the call has run, never runs, or runs
 *   at any later moment.
 * - A watcher may declare the owner of a claim lost at any moment, correctly
 *   or not. The model has no status query.
 * - Liveness: weak fairness of all processes.
 */
// verify: safety
// verify: safety -DCALLS=3 -DFAULTS=1 -DKILLS=0
// verify: liveness answered -DFAULTS=1
// verify: liveness resolved -DFAULTS=1
// reject: safety -DABSENCE_IS_PROOF
// reject: safety -DIGNORES_CONDITION
// reject: safety -DSTARTS_BEFORE_CLAIM
// reject: safety -DRETRIES_BROKEN_CALLS
// reject: safety -DCLAIMS_OVER_UNKNOWN
// reject: liveness answered -DFAULTS=1 -DWAITS_FOR_LOST_ANSWER
// reject: liveness resolved -DFAULTS=1 -DNO_WATCHER

#ifndef CALLS
#define CALLS 2
#endif
#define WATCHER CALLS
#define NOBODY 9
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef KILLS
#define KILLS 1
#endif

mtype = { absent, claimed, settled, unknown, released, tombstone };
mtype = { ok, conflict, lost };

/* The claim row in the table service. */
mtype row_state = absent;
byte row_owner = NOBODY;
byte row_version = 0;
byte last_version = 0;

/* Delayed writes that their writers abandoned, one per process. */
bool delayed_pending[CALLS + 1];
mtype delayed_state[CALLS + 1];
byte delayed_owner[CALLS + 1];
byte delayed_condition[CALLS + 1];

byte faults = FAULTS;
byte kills = KILLS;
byte runs = 0;
bool delayed_run[CALLS];
bool ran[CALLS];
bool reported_not_run[CALLS];
byte finished = 0;

inline run_at_target(call)
{
    runs++;
    ran[call] = true;
    assert(runs == 1);          /* at most one run per key */
    assert(!reported_not_run[call]) /* "not run" is correct */
}

inline apply(condition, state, owner, result)
{
    if
#ifdef IGNORES_CONDITION
    :: true ->
#else
    :: condition == row_version ->
#endif
        last_version++;
        row_version = last_version;
        row_state = state;
        row_owner = owner;
        result = ok;
        /* A call refused as not run has no claim in transit. */
        assert(!(state == claimed && reported_not_run[owner]))
#ifndef IGNORES_CONDITION
    :: else -> result = conflict
#endif
    fi
}

inline commit(writer, condition, state, owner, result)
{
    atomic {
        if
        :: apply(condition, state, owner, result)
        :: faults > 0 ->
            faults--;
            apply(condition, state, owner, result);
            result = lost
        :: faults > 0 && !delayed_pending[writer] ->
            faults--;
            delayed_pending[writer] = true;
            delayed_state[writer] = state;
            delayed_owner[writer] = owner;
            delayed_condition[writer] = condition;
            result = lost
        :: faults > 0 -> faults--; result = lost
        fi
    }
}

/* The router may die at this point. */
#define MAY_DIE \
    if \
    :: kills > 0 -> kills--; goto dead \
    :: true \
    fi

proctype router(byte me)
{
    byte condition = 0;
    byte attempts = 0;
    mtype result;
    mtype outcome;

claim:
    MAY_DIE;
    commit(me, condition, claimed, me, result);
#ifdef STARTS_BEFORE_CLAIM
    goto started;
#endif
    if
    :: result == ok -> goto started
    :: result == conflict -> goto look
    :: result == lost -> goto settle_claim
    fi;

settle_claim:
    MAY_DIE;
#ifdef WAITS_FOR_LOST_ANSWER
    false;
#endif
    atomic {
        if
        :: row_owner == me && row_state == tombstone -> goto not_run
        :: row_version != condition -> goto look
        :: else
        fi
    }
#ifdef ABSENCE_IS_PROOF
    goto not_run;
#endif
    if
    :: goto claim /* retry the same transaction */
    :: commit(me, condition, tombstone, me, result)
    fi;
    if
    :: result == ok -> goto not_run
    :: result == conflict -> goto look
    :: result == lost -> goto settle_claim
    fi;

look:
    MAY_DIE;
    atomic {
        if
        :: row_owner == me && row_state == claimed ->
            condition = row_version;
            goto started
        :: row_owner == me && row_state == tombstone -> goto not_run
        :: row_owner == me && row_state == unknown ->
            /* Declared lost before the call was started. */
            condition = row_version;
            reported_not_run[me] = true;
            assert(!ran[me]);
            outcome = released;
            goto record
#ifdef CLAIMS_OVER_UNKNOWN
        :: row_owner != me && row_state == unknown && attempts < 1 ->
            attempts++;
            condition = row_version;
            goto claim
#endif
        :: else
        fi;
        if
        :: row_state == settled -> assert(runs == 1); goto done
        :: row_state == released || row_state == tombstone ->
            if
            :: attempts < 1 ->
                attempts++;
                condition = row_version;
                goto claim
            :: else -> goto not_run
            fi
        :: else -> goto done /* responds "in progress" or "unknown" */
        fi
    }

not_run:
    atomic {
        reported_not_run[me] = true;
        assert(!ran[me])
    };
    goto done;

started:
    MAY_DIE;
    if
    :: row_owner == me -> condition = row_version
    :: else
    fi;
    if
    :: atomic { run_at_target(me); outcome = settled }
    :: atomic { run_at_target(me); outcome = unknown }
    :: outcome = unknown
    :: delayed_run[me] = true; outcome = unknown
    :: reported_not_run[me] = true; outcome = released
    fi;
#ifdef RETRIES_BROKEN_CALLS
    if
    :: outcome == unknown -> outcome = released
    :: else
    fi;
#endif

record:
    MAY_DIE;
    commit(me, condition, outcome, me, result);
    if
    :: result == ok -> goto done
    :: else
    fi;
    MAY_DIE;
    atomic {
        if
        :: row_owner != me || row_state == outcome -> goto done
        :: row_owner == me && row_state != outcome &&
           (row_state == claimed ||
            (row_state == unknown && outcome != unknown)) ->
            condition = row_version;
            goto record
        :: else -> goto done
        fi
    }

dead:
done:
    atomic {
        finished++;
        condition = 0;
        attempts = 0;
        result = ok;
        outcome = ok
    }
}

/* The watcher: declares owners lost, at any moment. */
active proctype watcher()
{
    byte condition;
    byte owner;
    mtype result;
end:
    do
#ifndef NO_WATCHER
    :: atomic {
           row_state == claimed ->
           condition = row_version;
           owner = row_owner
       };
       commit(WATCHER, condition, unknown, owner, result);
       atomic { condition = 0; owner = 0; result = ok }
#else
    :: condition = 1; condition = 0
#endif
    od
}

/* Delivers the writes in transit late. */
active proctype network()
{
    byte index;
    mtype result;
end:
    do
    :: atomic {
           delayed_pending[0] || delayed_pending[1] ||
           delayed_pending[CALLS - 1] || delayed_pending[CALLS] ->
           if
           :: delayed_pending[0] -> index = 0
           :: delayed_pending[1] -> index = 1
           :: delayed_pending[CALLS - 1] -> index = CALLS - 1
           :: delayed_pending[CALLS] -> index = CALLS
           fi;
           delayed_pending[index] = false;
           apply(delayed_condition[index], delayed_state[index],
                 delayed_owner[index], result);
           delayed_state[index] = absent;
           delayed_owner[index] = 0;
           delayed_condition[index] = 0;
           index = 0;
           result = ok
       }
    :: atomic { delayed_run[0] -> delayed_run[0] = false; run_at_target(0) }
    :: atomic { delayed_run[1] -> delayed_run[1] = false; run_at_target(1) }
    :: atomic {
           delayed_run[CALLS - 1] ->
           delayed_run[CALLS - 1] = false;
           run_at_target(CALLS - 1)
       }
    od
}

init
{
    atomic {
        run router(0);
        run router(1);
        if
        :: CALLS > 2 -> run router(2)
        :: else
        fi
    }
}

/* Every call receives a response, unless its router died. */
ltl answered { <> (finished == CALLS) }

/* Every claim eventually has an outcome. */
ltl resolved { <> [] (row_state != claimed) }
