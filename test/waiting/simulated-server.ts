/**
 * A server on a noisy VM in simulated time, driven by the gate's queue. Above a number of running
 * requests (the knee) it is slower, and requests that start in a slow period are slow to their end.
 */
import {
	assignSlots,
	assumeBaselineSpeed,
	changeColdLimit,
	changeStartRate,
	createQueue,
	finishRequest,
	offerOutcomes,
	offerRequest,
	recordCold,
	recordSlowdown,
	type GateRequest,
	type QueueState,
	type SlotAssignment,
} from '../../src/waiting/index.js';

export type ServerModel = {
	readonly slots: number;
	/** Running requests above which a request that starts is slower. */
	readonly knee: number;
	readonly kneeFactor: number;
	/** Share of the periods that are slow. */
	readonly slowShare: number;
	readonly slowFactor: number;
	readonly periodMilliseconds: number;
	/** Slowdown outside of slow periods; above one for a cold server. */
	readonly baseSlowdown: number;
	/** Whether the server reports its speed to the gate. */
	readonly reportsSpeed: boolean;
	/** Limit on the request rate that the server names; infinite for none. */
	readonly requestsPerSecond: number;
	/** Requests a second that it bears while it is cold; infinite for no limit. */
	readonly coldRequestsPerSecond: number;
	/** For how long it is cold from the start on, in milliseconds. */
	readonly coldMilliseconds: number;
};

export const calmModel: ServerModel = {
	slots: 9,
	knee: 9,
	kneeFactor: 1,
	slowShare: 0,
	slowFactor: 1,
	periodMilliseconds: 150,
	baseSlowdown: 1,
	reportsSpeed: true,
	requestsPerSecond: Number.POSITIVE_INFINITY,
	coldRequestsPerSecond: Number.POSITIVE_INFINITY,
	coldMilliseconds: 0,
};

export type Arrival = {
	readonly at: number;
	readonly request: GateRequest;
	/** Duration at nominal speed, in milliseconds. */
	readonly duration: number;
};

/** How each request ended. */
export type SimulatedEnd = {
	readonly request: GateRequest;
	readonly end: 'answered' | 'refused';
	readonly at: number;
};

type Event = {readonly at: number; readonly run: () => void};

/** Runs arrivals against a server, and returns how each request ended and the times of the starts. */
export function simulate(
	model: ServerModel,
	arrivals: readonly Arrival[],
	random: () => number,
): {
	readonly ends: SimulatedEnd[];
	readonly starts: readonly number[];
	readonly state: QueueState;
} {
	const state = createQueue(model.slots);
	changeStartRate(state.startRate, model.requestsPerSecond, 0);
	const {coldRequestsPerSecond} = model;
	changeColdLimit(state.startRate, {coldRequestsPerSecond}, 0);
	recordCold(state, {milliseconds: model.coldMilliseconds, mayBeLate: false}, 0);
	const ends: SimulatedEnd[] = [];
	const starts: number[] = [];
	const events: Event[] = [];
	const arrivalsById = new Map<string, Arrival>();
	const slowPeriods: boolean[] = [];
	const clock = {now: 0};
	let isProbing = false;
	let isAssignmentDue = false;

	const schedule = (at: number, run: () => void): void => {
		const index = events.findIndex(event => event.at > at);
		events.splice(index === -1 ? events.length : index, 0, {at, run});
	};

	const slowdownAt = (time: number): number => {
		const period = Math.floor(time / model.periodMilliseconds);
		while (slowPeriods.length <= period) {
			slowPeriods.push(random() < model.slowShare);
		}

		return model.baseSlowdown * (slowPeriods[period] ? model.slowFactor : 1);
	};

	const assign = (): void => {
		const assignment = assignSlots(state, clock.now);
		apply(assignment);
		if (assignment.needsSpeedReport && !isProbing) {
			isProbing = true;
			schedule(clock.now + 1, () => {
				isProbing = false;
				report();
				assign();
			});
		} else if (state.waiting.size > 0 && !isAssignmentDue) {
			isAssignmentDue = true;
			schedule(clock.now + 15, () => {
				isAssignmentDue = false;
				assign();
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

	const apply = (assignment: SlotAssignment): void => {
		for (const id of assignment.tooLate) {
			ends.push({request: arrivalsById.get(id)!.request, end: 'refused', at: clock.now});
		}

		for (const id of assignment.started) {
			const {request, duration} = arrivalsById.get(id)!;
			starts.push(clock.now);
			const factor = state.running.size > model.knee ? model.kneeFactor : 1;
			schedule(clock.now + duration * slowdownAt(clock.now) * factor, () => {
				apply(finishRequest(state, id, {isComplete: true}, clock.now));
				ends.push({request, end: 'answered', at: clock.now});
				assign();
			});
		}
	};

	for (const arrival of arrivals) {
		schedule(arrival.at, () => {
			arrivalsById.set(arrival.request.id, arrival);
			if (
				offerRequest(state, arrival.request, clock.now).outcome === offerOutcomes.tooLate
			) {
				ends.push({request: arrival.request, end: 'refused', at: clock.now});
				return;
			}

			assign();
		});
	}

	for (let event = events.shift(); event; event = events.shift()) {
		clock.now = event.at;
		event.run();
	}

	return {ends, starts, state};
}

/** Share of the requests that were answered within their target. */
export function computeOnTimeShare(ends: readonly SimulatedEnd[]): number {
	const onTime = ends.filter(
		({request, end, at}) => end === 'answered' && at <= request.targetAt,
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

/** Creates arrivals at random times, as a Poisson process. */
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
