/** Properties of admission that hold for every sequence of events. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	changeSlots,
	cancel,
	changePolicy,
	countUsableSlots,
	createAdmission,
	expire,
	offer,
	release,
	type AdmissionState,
	type SlotAssignment,
} from '../../src/admission/index.js';
import {policy, request} from './support.js';

const seed = 20_261_204;
const runs = 300;
const ranks = ['urgent', 'normal', 'idle', 'unheard-of'];

type Event =
	| {readonly kind: 'offer'; rank: number; caller: number; remaining: number}
	| {readonly kind: 'release'; which: number; service: number; shed: boolean}
	| {readonly kind: 'cancel'; which: number}
	| {readonly kind: 'expire'}
	| {readonly kind: 'switch'; queuePerSlot: number}
	| {readonly kind: 'slots'; slots: number};

const event: fc.Arbitrary<Event> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('offer' as const),
			rank: fc.nat(3),
			caller: fc.nat(2),
			remaining: fc.integer({min: 0, max: 200}),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constant('release' as const),
			which: fc.nat(20),
			service: fc.nat(50),
			shed: fc.boolean(),
		}),
	},
	fc.record({kind: fc.constant('cancel' as const), which: fc.nat(20)}),
	fc.record({kind: fc.constant('expire' as const)}),
	fc.record({kind: fc.constant('switch' as const), queuePerSlot: fc.nat(5)}),
	fc.record({kind: fc.constant('slots' as const), slots: fc.nat(6)}),
);

/** The gate's decision about each request; a second one for the same request is a fault. */
type Decisions = {readonly byId: Map<string, string>; readonly ended: Set<string>};

function recordDecision(decisions: Decisions, id: string, decision: string): void {
	expect(decisions.byId.get(id)).toEqual(undefined);
	decisions.byId.set(id, decision);
}

function recordAssignment(decisions: Decisions, assignment: SlotAssignment): void {
	for (const id of assignment.dispatch) {
		recordDecision(decisions, id, 'dispatched');
	}

	for (const {id} of assignment.refused) {
		recordDecision(decisions, id, 'refused');
	}
}

function pick(ids: Iterable<string>, which: number): string | undefined {
	const all = [...ids];
	return all[which % Math.max(1, all.length)];
}

function applyOffer(
	state: AdmissionState,
	decisions: Decisions,
	step: Extract<Event, {kind: 'offer'}>,
	now: number,
): void {
	const id = `${now}`;
	const offered = request(id, ranks[step.rank]!, {
		caller: `${step.caller}`,
		deadlineAt: now + step.remaining,
	});
	const decision = offer(state, offered, now);
	if (decision.kind !== 'queued') {
		recordDecision(decisions, id, decision.kind);
	} else if (decision.displaced !== undefined) {
		recordDecision(decisions, decision.displaced.id, 'refused');
	}
}

function apply(
	state: AdmissionState,
	decisions: Decisions,
	step: Event,
	now: number,
): void {
	switch (step.kind) {
		case 'offer': {
			applyOffer(state, decisions, step, now);
			break;
		}

		case 'release': {
			const id = pick(state.running.keys(), step.which);
			if (id !== undefined) {
				decisions.ended.add(id);
				const end = {serviceMilliseconds: step.service, shed: step.shed};
				recordAssignment(decisions, release(state, id, end, now));
			}

			break;
		}

		case 'cancel': {
			const id = pick(state.waiting.keys(), step.which);
			if (id !== undefined && cancel(state, id)) {
				recordDecision(decisions, id, 'cancelled');
			}

			break;
		}

		case 'expire': {
			recordAssignment(decisions, {dispatch: [], refused: expire(state, now)});
			break;
		}

		case 'switch': {
			const admission = {...policy.admission, queuePerSlot: step.queuePerSlot};
			changePolicy(state, {...policy, admission});
			break;
		}

		case 'slots': {
			recordAssignment(decisions, changeSlots(state, step.slots, now));
			break;
		}
	}
}

test('slots are never exceeded, and no request is lost or answered twice', () => {
	fc.assert(
		fc.property(fc.array(event, {maxLength: 200}), steps => {
			const state = createAdmission(policy, 3);
			const decisions: Decisions = {byId: new Map(), ended: new Set()};
			for (const [now, step] of steps.entries()) {
				const runningBefore = state.running.size;
				apply(state, decisions, step, now);
				const allowed = Math.max(runningBefore, countUsableSlots(state));
				expect(state.running.size).toBeLessThanOrEqual(allowed);
				const queued = state.ranks.reduce((sum, rank) => sum + rank.queue.size, 0);
				expect(queued).toEqual(state.waiting.size);
			}

			const offered = steps.filter(step => step.kind === 'offer').length;
			expect(decisions.byId.size + state.waiting.size).toEqual(offered);
			const dispatched = [...decisions.byId.values()].filter(decision =>
				decision.startsWith('dispatch'),
			);
			expect(dispatched.length).toEqual(decisions.ended.size + state.running.size);
		}),
		{seed, numRuns: runs},
	);
});

test('with any floors, a flood of every rank leaves each at least nine tenths of its floor', () => {
	const shares = fc.array(fc.integer({min: 0, max: 30}), {minLength: 2, maxLength: 3});
	fc.assert(
		fc.property(shares, fc.integer({min: 1, max: 12}), (percents, slots) => {
			const names = ['urgent', 'normal', 'idle'].slice(0, percents.length);
			const floors = names.map((name, index) => ({
				name,
				floorShare: percents[index]! / 100,
			}));
			const state = createAdmission({...policy, ranks: floors}, slots);
			const rounds = 1000;
			const served = new Map<string, number>();
			for (let now = 0; now < rounds; now += 1) {
				for (const name of names) {
					offer(state, request(`${name} ${now}`, name), now);
				}

				const [first] = state.running;
				const [id, {rank}] = first!;
				served.set(rank, (served.get(rank) ?? 0) + 1);
				release(state, id, {serviceMilliseconds: 10}, now);
			}

			for (const {name, floorShare} of floors) {
				const floor = Math.floor(floorShare * (rounds - 2 * slots) * 0.9);
				expect(served.get(name) ?? 0).toBeGreaterThanOrEqual(floor);
			}
		}),
		{seed, numRuns: 100},
	);
});
