/**
 * Event loop of membership: applies the events one after another and wakes for the next tick only
 * when one is due. An event that is offered while another is handled waits for its turn.
 */
import {type MembershipEvent} from './state.js';

/** Maximum number of waiting events; more are dropped, as a full socket buffer drops datagrams. */
const queueCapacity = 4096;
/** A timer may fire early by a fraction of a millisecond. */
const timerResolutionMilliseconds = 1;

export type EventLoopOptions = {
	/** Applies one event; an error in it must not stop membership. */
	readonly handle: (event: MembershipEvent) => void;
	/** Monotonic time in milliseconds at which the next tick is due. */
	readonly nextTickAt: (now: number) => number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly onError: (error: unknown) => void;
};

export type EventLoop = {
	/** Handles the event once the current call stack and earlier events are done. */
	readonly offer: (event: MembershipEvent) => void;
	/** Handles the waiting events and `last`, and nothing after it. */
	readonly close: (last: MembershipEvent) => void;
};

/**
 * Starts the loop with a first tick.
 *
 * @param options the handler of events, and the clock
 * @returns the loop
 */
export function createEventLoop(options: EventLoopOptions): EventLoop {
	const {handle, now, onError} = options;
	let waiting: MembershipEvent[] = [];
	let isScheduled = false;
	let isClosed = false;
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Number.POSITIVE_INFINITY;

	function handleWaiting(): void {
		isScheduled = false;
		while (waiting.length > 0) {
			const events = waiting;
			waiting = [];
			for (const event of events) {
				try {
					handle(event);
				} catch (error) {
					onError(error);
				}
			}
		}
	}

	function scheduleTick(): void {
		const dueAt = options.nextTickAt(now());
		if (isClosed || dueAt >= timerAt) {
			return;
		}

		clearTimeout(timer);
		timerAt = dueAt;
		timer = setTimeout(
			() => {
				timerAt = Number.POSITIVE_INFINITY;
				offer({kind: 'tick'});
			},
			Math.max(timerResolutionMilliseconds, Math.ceil(dueAt - now())),
		);
	}

	function offer(event: MembershipEvent): void {
		if (isClosed || waiting.length >= queueCapacity) {
			return;
		}

		waiting.push(event);
		if (!isScheduled) {
			isScheduled = true;
			queueMicrotask(() => {
				handleWaiting();
				scheduleTick();
			});
		}
	}

	offer({kind: 'tick'});
	return {
		offer,
		close(last) {
			offer(last);
			isClosed = true;
			clearTimeout(timer);
			handleWaiting();
		},
	};
}
