/**
 * A server on a noisy VM in simulated time, driven by the gate's own decisions: it has slots, a
 * knee near full, and slow pieces in which work that starts is slow to its end.
 */
import {
	assumeBaselineSpeed,
	createQueue,
	finishRequest,
	offerOutcomes,
	offerRequest,
	recordSlowdown,
	assignSlots,
	type QueueState,
	type SlotAssignment,
	type GateRequest,
} from '../../src/waiting/index.js';

export type ServerModel = {
	readonly slots: number;
	/** Running requests above which work is slower. */
	readonly knee: number;
	readonly kneeFactor: number;
	/** Share of the pieces that are slow. */
	readonly slowShare: number;
	readonly slowFactor: number;
	readonly pieceMilliseconds: number;
	/** Slowdown outside of slow pieces, as of a server that is cold. */
	readonly baseSlowdown: number;
	/** Whether the gate is told the speed. */
	readonly reportsSpeed: boolean;
};

export const calmModel: ServerModel = {
	slots: 9,
	knee: 9,
	kneeFactor: 1,
	slowShare: 0,
	slowFactor: 1,
	pieceMilliseconds: 150,
	baseSlowdown: 1,
	reportsSpeed: true,
};

export type Arrival = {
	readonly at: number;
	readonly request: GateRequest;
	/** Duration at usual speed, in milliseconds. */
	readonly duration: number;
};

/** How each request ended. */
export type SimulatedEnd = {
	readonly request: GateRequest;
	readonly end: 'answered' | 'refused';
	readonly at: number;
};

type Event = {readonly at: number; readonly run: () => void};

/** Plays arrivals against a server, and tells how each request ended. */
export function simulate(
	model: ServerModel,
	arrivals: readonly Arrival[],
	random: () => number,
): {readonly ends: SimulatedEnd[]; readonly state: QueueState} {
	const state = createQueue(model.slots);
	const ends: SimulatedEnd[] = [];
	const events: Event[] = [];
	const durations = new Map<string, Arrival>();
	const pieces: boolean[] = [];
	const clock = {now: 0};
	let isProbing = false;
	let isPumpDue = false;

	const schedule = (at: number, run: () => void): void => {
		const index = events.findIndex(event => event.at > at);
		events.splice(index === -1 ? events.length : index, 0, {at, run});
	};

	const slowdownAt = (time: number): number => {
		const piece = Math.floor(time / model.pieceMilliseconds);
		while (pieces.length <= piece) {
			pieces.push(random() < model.slowShare);
		}

		return model.baseSlowdown * (pieces[piece] ? model.slowFactor : 1);
	};

	const pump = (): void => {
		const turn = assignSlots(state, clock.now);
		follow(turn);
		if (turn.needsSpeedReport && !isProbing) {
			isProbing = true;
			schedule(clock.now + 1, () => {
				isProbing = false;
				report();
				pump();
			});
		} else if (state.waiting.size > 0 && !isPumpDue) {
			isPumpDue = true;
			schedule(clock.now + 15, () => {
				isPumpDue = false;
				pump();
			});
		}
	};

	const report = (): void => {
		if (model.reportsSpeed) {
			recordSlowdown(state.speed, slowdownAt(clock.now), clock.now);
		} else {
			assumeBaselineSpeed(state.speed, clock.now);
		}
	};

	const follow = (turn: SlotAssignment): void => {
		for (const id of turn.tooLate) {
			ends.push({request: durations.get(id)!.request, end: 'refused', at: clock.now});
		}

		for (const id of turn.started) {
			const {request: work, duration} = durations.get(id)!;
			const knee = state.running.size > model.knee ? model.kneeFactor : 1;
			schedule(clock.now + duration * slowdownAt(clock.now) * knee, () => {
				follow(finishRequest(state, id, {isComplete: true}, clock.now));
				ends.push({request: work, end: 'answered', at: clock.now});
				pump();
			});
		}
	};

	for (const arrival of arrivals) {
		schedule(arrival.at, () => {
			durations.set(arrival.request.id, arrival);
			if (
				offerRequest(state, arrival.request, clock.now).outcome === offerOutcomes.tooLate
			) {
				ends.push({request: arrival.request, end: 'refused', at: clock.now});
				return;
			}

			pump();
		});
	}

	for (let event = events.shift(); event; event = events.shift()) {
		clock.now = event.at;
		event.run();
	}

	return {ends, state};
}

/** Share of the requests that were answered within their target. */
export function computeOnTimeShare(ends: readonly SimulatedEnd[]): number {
	const onTime = ends.filter(
		({request: work, end, at}) => end === 'answered' && at <= work.targetAt,
	);
	return onTime.length / ends.length;
}

/** Creates a request that arrives at a time. */
export function createRequest(
	id: string,
	at: number,
	patch: Partial<GateRequest> = {},
): GateRequest {
	const targetMilliseconds = patch.targetMilliseconds ?? 400;
	return {
		id,
		rank: 1,
		route: 'search',
		nested: false,
		arrivedAt: at,
		targetMilliseconds,
		targetAt: at + targetMilliseconds,
		deadlineAt: at + 1000,
		...patch,
	};
}

/** Arrivals of one kind at random moments. */
export function createPoissonArrivals(
	perSecond: number,
	milliseconds: number,
	random: () => number,
	create: (id: string, at: number) => {request: GateRequest; duration: number},
): Arrival[] {
	const arrivals: Arrival[] = [];
	let at = 0;
	for (let index = 0; ; index += 1) {
		at += (-Math.log(1 - random()) * 1000) / perSecond;
		if (at > milliseconds) {
			return arrivals;
		}

		arrivals.push({at, ...create(`${index}`, at)});
	}
}
