/**
 * Drives the queue of a gate: rechecks it while requests wait, and asks for the server's speed before
 * requests start. The decisions themselves are those of `src/waiting`.
 */
import {
	assignSlots,
	changeColdLimit,
	changeSlots,
	changeStartRate,
	createQueue,
	currentSlowdown,
	findHopeless,
	finishRequest,
	offerOutcomes,
	offerRequest,
	recordCold,
	withdrawRequest,
	type ColdStatement,
	type GateRequest,
	type OfferResult,
	type QueueState,
	type RequestEnd,
	type SlotAssignment,
} from '../waiting/index.js';

export type GateQueueOptions = {
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Asks for the server's speed; resolves once it is known or assumed. */
	readonly refreshSpeed: () => Promise<void>;
	/** Called for each request that starts now. */
	readonly onStart: (id: string) => void;
	/**
	 * Called for each waiting request that no longer has time, with how long it would have waited if
	 * that is the reason.
	 */
	readonly onTooLate: (id: string, waitMilliseconds?: number) => void;
};

export type GateQueue = {
	/** For estimates and reports; changed only through the queue. */
	readonly state: () => QueueState;
	/** Offers a request; if it is queued, it may start before this returns. */
	readonly offer: (request: GateRequest) => OfferResult;
	/** Ends a request that had started. */
	readonly finish: (id: string, end: RequestEnd) => void;
	/** Withdraws a request; false if it does not wait. */
	readonly withdraw: (id: string) => boolean;
	/** Sets the number of requests that may run at once; zero while none may start. */
	readonly changeSlots: (slots: number) => void;
	/** Sets the limit on the request rate; infinite for none. */
	readonly changeRequestRate: (requestsPerSecond: number) => void;
	/** Sets the limit on the request rate of a cold server; infinite for none. */
	readonly changeColdRate: (requestsPerSecond: number) => void;
	/** Records that the server is cold, and for how long. */
	readonly recordCold: (statement: ColdStatement) => void;
	/** Forgets what was learned of the server, and keeps the requests. */
	readonly resetServer: (warmupMilliseconds: number) => void;
	/** Lists the figures of the queue for the log. */
	readonly describe: () => Record<string, unknown>;
	readonly close: () => void;
};

/** Rechecks waiting requests this often, since the limit on the request rate lets one start. */
const checkIntervalMilliseconds = 15;
/** Rechecks this often whether a slow server is fast again, which takes a request to it. */
const slowCheckIntervalMilliseconds = 25;
/** Rechecks this often while no slot is free: only the time of a waiting request can run out. */
const fullCheckIntervalMilliseconds = 50;

/**
 * Creates an empty queue without slots.
 *
 * @param options the clock, the speed of the server, and what to do with requests that leave the queue
 * @returns the queue
 */
export function createGateQueue(options: GateQueueOptions): GateQueue {
	const {now} = options;
	let state = createQueue(0);
	let isReportAwaited = false;
	let checkTimer: NodeJS.Timeout | undefined;

	/** Assigns free slots; asks for the server's speed first if it is not known. */
	function processRequests(): void {
		const assignment = assignSlots(state, now());
		applyAssignment(assignment);
		if (assignment.needsSpeedReport) {
			processAfterReport();
			return;
		}

		if (state.waiting.size > 0) {
			scheduleCheck(chooseCheckInterval(assignment));
		}
	}

	function chooseCheckInterval({isDeferring}: SlotAssignment): number {
		if (isDeferring) {
			return slowCheckIntervalMilliseconds;
		}

		return state.running.size < state.limit
			? checkIntervalMilliseconds
			: fullCheckIntervalMilliseconds;
	}

	/** Processes the queue once per speed report, however many requests wait for it. */
	function processAfterReport(): void {
		if (isReportAwaited) {
			return;
		}

		isReportAwaited = true;
		void options.refreshSpeed().then(() => {
			isReportAwaited = false;
			processRequests();
		});
	}

	/** One timer serves the whole queue; none runs while it is empty. */
	function scheduleCheck(interval: number): void {
		checkTimer ??= setTimeout(() => {
			checkTimer = undefined;
			processRequests();
		}, interval);
	}

	function applyAssignment({tooLate, started}: SlotAssignment): void {
		for (const id of tooLate) {
			options.onTooLate(id);
		}

		for (const id of started) {
			options.onStart(id);
		}
	}

	function refuseHopeless(): void {
		for (const {request, waitMilliseconds} of findHopeless(state, now())) {
			state.waiting.delete(request.id);
			options.onTooLate(request.id, waitMilliseconds);
		}
	}

	return {
		state: () => state,
		offer(request) {
			const result = offerRequest(state, request, now());
			if (result.outcome === offerOutcomes.queued) {
				processRequests();
			}

			return result;
		},
		finish(id, end) {
			applyAssignment(finishRequest(state, id, end, now()));
			if (state.waiting.size > 0) {
				processRequests();
			}
		},
		withdraw: id => withdrawRequest(state, id),
		changeSlots(slots) {
			applyAssignment(changeSlots(state, slots, now()));
		},
		changeRequestRate(requestsPerSecond) {
			changeStartRate(state.startRate, requestsPerSecond, now());
		},
		changeColdRate(requestsPerSecond) {
			const limit = {coldRequestsPerSecond: requestsPerSecond};
			changeColdLimit(state.startRate, limit, now());
		},
		recordCold(statement) {
			const {requestsPerSecond} = state.startRate;
			recordCold(state, statement, now());
			if (state.startRate.requestsPerSecond < requestsPerSecond) {
				refuseHopeless();
			}
		},
		resetServer(warmupMilliseconds) {
			const previous = state;
			state = createQueue(previous.slots);
			for (const [id, running] of previous.running) {
				state.running.set(id, running);
			}

			for (const [id, request] of previous.waiting) {
				state.waiting.set(id, request);
			}

			const {coldRequestsPerSecond} = previous.startRate;
			changeColdLimit(state.startRate, {coldRequestsPerSecond}, now());
			recordCold(state, {milliseconds: warmupMilliseconds, mayBeLate: false}, now());
		},
		describe: () => ({
			running: state.running.size,
			waiting: state.waiting.size,
			limit: state.limit,
			slowdown: currentSlowdown(state.speed, now()),
		}),
		close() {
			clearTimeout(checkTimer);
		},
	};
}
