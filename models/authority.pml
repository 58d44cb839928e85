// Model of order authority: which controller may issue orders, and which
// orders take effect at a target.
//
// Two controllers, one target, the lease with its fencing number, and the
// target's order row. Models the classes of modules/authority: lease_holder,
// fence_raiser, order_book and settled_write.
//
// Assumptions:
// - The lease can pass to the other controller at any moment, and the former
//   holder learns of it late or never. Safety therefore depends on no clock,
//   and a process may pause between any two steps, including between checking
//   the lease and sending an order.
// - A write reaches the store twice: as the sender's last retry, whose
//   response the sender receives, and as an earlier duplicate, which takes
//   effect before the retry, after it, or never. This covers lost responses
//   and delayed writes.
// - A sent order arrives late or never, but not after its sender has received
//   a response, or has closed the connection and waited for the delivery
//   bound.
// - A process is declared unavailable only when it can no longer run and has
//   no message in transit.
// - A target retains its greatest fencing number across a crash, and loses
//   its orders. It responds to the last completed order with done, and refuses
//   every order while it executes one.
// - Bounds (fewer orders for the liveness checks; -DMORE adds a lease term and
//   takes minutes): HOLDINGS changes of lease holder, ORDERS orders, one killed
//   controller, one crash of the target, LOSSES lost messages, DUPLICATES
//   duplicated writes.
//
// Safety: only an order that is in the target's row, sent by a lease holder,
// takes effect; no earlier order takes effect after a later one.
// Liveness, under weak fairness and with a finite number of faults: every
// order that was sent is eventually settled.
//
// verify: safety
// verify: safety -DIGNORES
// verify: liveness settles -DFEWER
// verify: liveness settles -DFEWER -DIGNORES
// reject: safety -DNO_RAISE
// reject: safety -DNO_FENCE_CONDITION
// reject: safety -DNO_VERSION_CONDITION
// reject: safety -DSEND_UNWRITTEN
// reject: safety -DIGNORES -DNO_WAIT_FOR_SENDERS
// reject: safety -DIGNORES -DGONE_WHILE_PAUSED
// reject: liveness settles -DFEWER -DNO_TAKEOVER

#ifdef MORE
#define HOLDINGS 3
#else
#define HOLDINGS 2
#endif
#ifdef FEWER
#define ORDERS 1
#else
#define ORDERS 2
#endif
#define LOSSES 1
#define DUPLICATES 1
#define NOBODY 2
#define BIT(p) (1 << (p))

#ifdef IGNORES
#define CHECKS 0
#else
#define CHECKS 1
#endif

#ifdef NO_FENCE_CONDITION
#define FENCE_HOLDS(f) true
#else
#define FENCE_HOLDS(f) (fence == f)
#endif

#ifdef NO_VERSION_CONDITION
#define VERSION_HOLDS(v) true
#else
#define VERSION_HOLDS(v) (row_version == v)
#endif

mtype = { absent, intended, sent, done };
mtype = { none, open, running, finished, refused, unknown };

// The stored state: the fence row and the order row.
byte fence, holder = NOBODY;
byte row_version, row_order, row_senders, row_writer;
mtype row_state = absent;

// The earlier duplicate of a write, still in transit.
bit duplicate;
byte duplicate_process, duplicate_fence, duplicate_version;
byte duplicate_order, duplicate_senders;
mtype duplicate_state = absent;
bit duplicate_fenced;
byte duplicates;

// Orders in transit, and the responses to them.
byte message_order[2], message_fence[2];
mtype response[2] = none;
byte losses;

// The target. `newest` is the greatest order that has taken effect.
byte target_fence, target_order, newest;
bit target_busy, target_crashed;

byte next_order, unavailable;
bit killed;

inline apply(p, f, v, state, order, senders, fenced)
{
    if
    :: (!fenced || FENCE_HOLDS(f)) && VERSION_HOLDS(v) ->
        assert(!fenced || state != sent || holder == p);
        row_state = state;
        row_order = order;
        row_senders = senders;
        row_writer = p + 1;
        row_version++
    :: else
    fi
}

inline read_row()
{
    version = row_version;
    state = row_state;
    order = row_order;
    senders = row_senders
}

// One settled write: an optional earlier duplicate, then the write whose
// response the sender receives.
inline write(new_state, new_order, new_senders, fenced)
{
    if
    :: atomic { duplicates < DUPLICATES && !duplicate ->
        duplicates++;
        duplicate_process = p;
        duplicate_fence = f;
        duplicate_version = version;
        duplicate_state = new_state;
        duplicate_order = new_order;
        duplicate_senders = new_senders;
        duplicate_fenced = fenced;
        duplicate = 1 }
    :: true
    fi;
    atomic {
        if
        :: row_version == version + 1 && row_writer == p + 1
        :: else ->
            apply(p, f, version, new_state, new_order, new_senders, fenced)
        fi;
        committed = (row_version == version + 1 && row_writer == p + 1);
        lost = lost || (fenced && fence != f && !committed);
        read_row()
    }
}

inline deliver(p)
{
    d_step {
        if
        :: CHECKS && message_fence[p] < target_fence -> response[p] = refused
        :: else ->
            if
            :: target_busy -> response[p] = running
            :: !target_busy && message_order[p] == target_order ->
                response[p] = finished
            :: else ->
                assert(message_order[p] >= newest);
                assert(message_order[p] == row_order);
                assert(row_state == sent || row_state == done);
                target_order = message_order[p];
                newest = target_order;
                target_busy = 1;
                response[p] = running
            fi
        fi;
        message_order[p] = 0;
        message_fence[p] = 0
    }
}

inline send_order()
{
    d_step {
        message_order[p] = order;
        message_fence[p] = f;
        response[p] = open
    };
    response[p] != open;
    if
    :: response[p] == finished ->
        write(done, order, (CHECKS -> 0 : senders & ~BIT(p)), 1)
    :: response[p] == refused -> lost = 1
    :: else
    fi;
    response[p] = none
}

#ifdef NO_WAIT_FOR_SENDERS
#define BARRED 0
#else
#define BARRED (!CHECKS && (senders & ~BIT(p) & ~unavailable) != 0)
#endif

proctype controller(byte p)
{
    byte f, version, order, senders;
    mtype state = absent;
    bit committed, lost, adopted;

end_idle:
    if
#ifdef NO_TAKEOVER
    :: atomic { fence == 0 -> fence++; holder = p; f = fence }
#else
    :: atomic { fence < HOLDINGS && holder != p ->
        fence++; holder = p; f = fence }
#endif
    fi;
    lost = 0;
    adopted = 0;
#ifndef NO_RAISE
    if
    :: d_step { target_fence < f -> target_fence = f }
    :: target_fence >= f
    fi;
#endif
    atomic { read_row() };

end_hold:
    do
    :: lost -> break
    :: !lost && fence != f -> break
    :: !lost && version != row_version -> atomic { read_row() }
    :: atomic { !lost && !killed && fence < HOLDINGS -> killed = 1 };
        goto dead
    :: !lost && (state == absent || state == done) &&
        next_order < ORDERS && !BARRED ->
        atomic { next_order++; order = next_order };
        adopted = 0;
#ifdef SEND_UNWRITTEN
        send_order();
#endif
        write(intended, order, 0, 1)
    :: !lost && state == intended ->
        write(sent, order, senders | BIT(p), 1);
        adopted = committed
    :: !lost && state == sent && !adopted ->
        write(sent, order, senders | BIT(p), 1);
        adopted = committed
    :: !lost && state == sent && adopted -> send_order()
    od;

    // Lost the lease: leaves the set of senders of the row.
    do
    :: !CHECKS && (senders & BIT(p)) != 0 ->
        write(state, order, senders & ~BIT(p), 0)
    :: CHECKS || (senders & BIT(p)) == 0 ->
        atomic {
            if
            :: version == row_version || CHECKS -> break
            :: else -> read_row()
            fi
        }
    od;
    goto end_idle;

dead:
    unavailable = unavailable | BIT(p)
}

active proctype network()
{
end:
    do
    :: message_order[0] != 0 -> deliver(0)
    :: message_order[1] != 0 -> deliver(1)
    :: atomic { losses < LOSSES && message_order[0] != 0 ->
        losses++; message_order[0] = 0; message_fence[0] = 0;
        response[0] = unknown }
    :: atomic { losses < LOSSES && message_order[1] != 0 ->
        losses++; message_order[1] = 0; message_fence[1] = 0;
        response[1] = unknown }
    :: atomic { duplicate ->
        apply(duplicate_process, duplicate_fence, duplicate_version,
            duplicate_state, duplicate_order, duplicate_senders,
            duplicate_fenced);
        duplicate = 0 }
    :: atomic { duplicate -> duplicate = 0 }
#ifdef GONE_WHILE_PAUSED
    :: unavailable == 0 -> unavailable = 1
#endif
    od
}

active proctype target()
{
end:
    do
    :: target_busy -> target_busy = 0
    :: atomic { !target_crashed && target_order != 0 ->
        target_crashed = 1; target_order = 0; target_busy = 0 }
    od
}

init
{
    atomic {
        run controller(0);
        run controller(1)
    }
}

ltl settles { [] ((row_state == sent) -> <> (row_state == done)) }
