// Tickets for non-idempotent requests: core/ticketer.
// variants: RESTART_RUNS NO_FENCE EXPIRY_NOT_CLOSED ANY_REQUEST PEER_RUNS PEER_REFUSES FORWARDER_REFUSES
//
// One ticket of one incarnation is used with two different requests, 1 and 2.
// Copies of both reach the issuer, a forwarding gateway and the peer that
// adopts finished answers, in any order; they are lost and repeated. The issuer
// expires the ticket, is paused at any step, crashes and comes back with a new
// incarnation, or stops with a fence and hands over.
//
// Checked: the ticket runs at most once; a request answered "not run" has not
// run and never will; a known answer belongs to the request that ran; a running
// ticket never becomes free.

#define COPIES 4

mtype = { free, running, done, fenced };
mtype = { unknown, not_run, ran };

chan issuer = [2] of { byte };		// copies of requests, by request number
chan forwarder = [2] of { byte };
chan peer = [1] of { byte };
chan handed = [1] of { byte, mtype };	// TicketForward's counterpart: Handed

// The issuer's Table.
mtype state = free;
byte request = 0;
mtype outcome = unknown;
bool admitted = false;	// Begin said run, the driver has not sent it yet
bool sent = false;	// the request has left for the target
byte incarnation = 0;	// the ticket was issued by incarnation 0
bool stopping = false;
bool expired = false;

// The peer's adopted answer.
byte adopted_request = 0;
mtype adopted_outcome = unknown;

// What happened, for the assertions only.
byte runs = 0;
byte ran_request = 0;
bool told_not_run[3];

// The target runs the request.
inline execute(r) {
	runs++;
	assert(runs <= 1);
	assert(!told_not_run[r]);
	ran_request = r
}

inline refuse(r) {
	assert(ran_request != r);
	told_not_run[r] = true
}

inline answer_known(r, o) {
	if
	:: o == ran -> assert(ran_request == r)
	:: o == not_run -> refuse(r)
	:: else
	fi
}

// Table.Begin for a ticket of this incarnation; late is true for a goroutine
// that read the clock after the expiry.
inline begin(r, late) {
	if
	:: state == free && late ->
#ifndef EXPIRY_NOT_CLOSED
		state = fenced;
#endif
		refuse(r)
	:: state == free && !late ->
		state = running; request = r; admitted = true
	:: state == fenced -> refuse(r)
#ifndef ANY_REQUEST
	:: (state == running || state == done) && request != r -> refuse(r)
	:: state == running && request == r -> skip	// wait
	:: state == done && request == r -> answer_known(r, outcome)
#else
	:: state == running -> skip
	:: state == done -> answer_known(r, outcome)
#endif
	fi
}

active proctype Caller() {
	byte left = COPIES;
	byte r;
	do
	:: left > 0 ->
		atomic {
			if :: r = 1 :: r = 2 fi;
			left--;
			if
			:: nfull(issuer) -> issuer!r
			:: nfull(forwarder) -> forwarder!r
			:: skip	// lost
			fi;
			r = 0
		}
	:: left == 0 -> break
	od
}

active proctype Issuer() {
	byte r;
	mtype was;
end:	do
	// Table.Begin. A repeated message stays in the channel.
	:: atomic {
		if :: issuer?r :: issuer?<r> fi;
		was = state;
		if
#ifndef RESTART_RUNS
		:: incarnation > 0 -> skip	// unknown: another incarnation's ticket
		:: incarnation == 0 ->
#else
		:: true ->
#endif
			if
			:: begin(r, false)	// clock read before the expiry
			:: expired -> begin(r, true)
			fi
		fi;
		assert(!(was == running && state == free));
		was = 0;
		r = 0
	   }
	// The driver sends the request to the target, which runs it.
	:: atomic { admitted -> admitted = false; sent = true; execute(request) }
	// Table.Finish with not-run: no byte has left.
	:: atomic { admitted -> admitted = false; state = done; outcome = not_run }
	// Table.Finish with the answer, or with unknown after a broken connection.
	:: atomic {
		sent -> sent = false; state = done;
		if :: outcome = ran :: outcome = unknown fi
	   }
	// A crash loses the Table; the process returns with a new incarnation.
	:: atomic {
		incarnation < 1 ->
		incarnation++; state = free; request = 0; outcome = unknown;
		admitted = false; sent = false; stopping = false
	   }
	// Table.Fence.
	:: atomic {
		incarnation == 0 && !stopping ->
		stopping = true;
#ifndef NO_FENCE
		if
		:: state == free -> state = fenced
		:: else
		fi
#endif
	   }
	// The answers of Table.Fence are handed over, perhaps repeatedly.
	:: atomic {
		stopping && state == done && nfull(handed) -> handed!request, outcome
	   }
#ifdef NO_FENCE
	// Without a fence the peer is told that a free ticket has not run.
	:: atomic { stopping && state == free && nfull(handed) -> handed!1, not_run }
#endif
	od
}

// Table.Expire and the expiry seen by Table.Begin.
active proctype Clock() { expired = true }

// Another gateway: Table.Route, and Successor once the issuer seems gone.
active proctype Forwarder() {
	byte r;
end:	do
	:: atomic {
		if :: forwarder?r :: forwarder?<r> fi;
		if
		:: nfull(issuer) -> issuer!r	// RouteForward
		:: nfull(peer) -> peer!r	// RouteGone, seen rightly or wrongly
		:: true ->	// lost, or no answer: the caller is told "unknown"
#ifdef FORWARDER_REFUSES
			refuse(r);
#endif
			skip
		fi;
		r = 0
	   }
	od
}

// The live peer: Table.Adopt, and Table.Begin for adopted answers.
active proctype Peer() {
	byte r;
	mtype o;
end:	do
	:: atomic {
		if :: handed?r, o :: handed?<r, o> fi;
		if
		:: adopted_request == 0 -> adopted_request = r; adopted_outcome = o
		:: else	// an answer already held is not replaced
		fi;
		r = 0; o = 0
	   }
	:: atomic {
		if :: peer?r :: peer?<r> fi;
		if
		:: adopted_request == 0 ->	// unknown
#ifdef PEER_RUNS
			execute(r);
#endif
#ifdef PEER_REFUSES
			refuse(r);
#endif
			skip
		:: adopted_request == r -> answer_known(r, adopted_outcome)
		:: adopted_request != 0 && adopted_request != r -> refuse(r)
		fi;
		r = 0
	   }
	od
}
