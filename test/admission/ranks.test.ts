/** Ranks: strict priority above the floors, fairness between callers, early refusal, displacement. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	changeSlots,
	cancel,
	changePolicy,
	createAdmission,
	expire,
	offer,
	refusalReasons,
	release,
	type GatePolicy,
} from '../../src/admission/index.js';
import {policy, request, serveFlood} from './support.js';

const end = {serviceMilliseconds: 10};
const withoutFloors: GatePolicy = {
	...policy,
	ranks: policy.ranks.map(rank => ({...rank, floorShare: 0})),
};

const floodCases = [
	{
		name: 'the lowest rank gets its floor beside a flood of urgent requests',
		policy,
		ranks: ['idle', 'urgent'],
		shares: {urgent: 0.9, idle: 0.1},
	},
	{
		name: 'the most urgent rank gets what the floors of the others leave',
		policy,
		ranks: ['urgent', 'normal', 'idle'],
		shares: {urgent: 0.7, normal: 0.2, idle: 0.1},
	},
	{
		name: 'without floors the most urgent rank gets every slot',
		policy: withoutFloors,
		ranks: ['urgent', 'normal', 'idle'],
		shares: {urgent: 1, normal: 0, idle: 0},
	},
	{
		name: 'a single rank gets every slot',
		policy,
		ranks: ['idle'],
		shares: {idle: 1},
	},
];

for (const row of floodCases) {
	test(`flood: ${row.name}`, () => {
		const state = createAdmission(row.policy, 10);
		const rounds = 5000;
		const served = serveFlood(state, row.ranks, rounds);
		for (const [rank, share] of Object.entries(row.shares)) {
			const servedShare = (served.get(rank) ?? 0) / rounds;
			expect(servedShare).toBeGreaterThanOrEqual(share * 0.9);
			expect(servedShare).toBeLessThanOrEqual(share * 1.1 + 0.001);
		}
	});
}

test('a caller that floods its rank does not delay the turns of other callers', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('flood 1', 'normal', {caller: 'flood'}), 0);
	offer(state, request('flood 2', 'normal', {caller: 'flood'}), 0);
	offer(state, request('flood 3', 'normal', {caller: 'flood'}), 0);
	offer(state, request('quiet 1', 'normal', {caller: 'quiet'}), 0);
	const order: string[] = [];
	let [id] = release(state, 'running', end, 1).dispatch;
	while (id !== undefined) {
		order.push(id);
		[id] = release(state, id, end, 1).dispatch;
	}

	expect(order).toEqual(['flood 1', 'quiet 1', 'flood 2', 'flood 3']);
});

test('without fairness between callers the earliest deadline goes first', () => {
	const withoutFairness = {
		...policy,
		admission: {queuePerSlot: 4, fairness: false},
	};
	const state = createAdmission(withoutFairness, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('late', 'normal', {caller: 'one', deadlineAt: 900}), 0);
	offer(state, request('early', 'normal', {caller: 'two', deadlineAt: 800}), 0);
	expect(release(state, 'running', end, 1).dispatch).toEqual(['early']);
});

const refusalCases = [
	{name: 'a deadline that has passed', deadlineAt: 100, expected: refusalReasons.expired},
	{
		name: 'a wait that exceeds the time left',
		deadlineAt: 115,
		expected: refusalReasons.tooLate,
	},
	{name: 'a deadline that can be met', deadlineAt: 200, expected: undefined},
];

for (const row of refusalCases) {
	test(`early refusal: ${row.name}`, () => {
		const state = createAdmission(policy, 1);
		offer(state, request('running', 'normal'), 100);
		const decision = offer(
			state,
			request('next', 'normal', {deadlineAt: row.deadlineAt}),
			100,
		);
		expect(decision.kind === 'refused' ? decision.reason : undefined).toEqual(
			row.expected,
		);
	});
}

test('a free slot is assigned even if the estimated service time exceeds the time left, so that the estimate can recover', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('slow', 'normal'), 0);
	release(state, 'slow', {serviceMilliseconds: 60_000}, 60_000);
	const decision = offer(state, request('next', 'normal', {deadlineAt: 60_020}), 60_001);
	expect(decision.kind).toEqual('dispatch');
});

test('in a full queue an urgent request displaces one of the least urgent rank', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'idle'), 0);
	for (const id of ['1', '2', '3', '4']) {
		offer(state, request(id, 'idle'), 0);
	}

	const decision = offer(state, request('urgent', 'urgent'), 0);
	expect(decision.kind === 'queued' && decision.displaced?.reason).toEqual(
		refusalReasons.displaced,
	);
	expect(state.waiting.size).toEqual(4);
	expect(offer(state, request('5', 'idle'), 0).kind).toEqual('refused');
});

test('an urgent flood does not take the queue places that a floor guarantees', () => {
	const state = createAdmission(policy, 1);
	for (let copy = 0; copy < 9; copy += 1) {
		offer(state, request(`urgent ${copy}`, 'urgent'), 0);
	}

	expect(offer(state, request('idle', 'idle'), 0).kind).toEqual('queued');
	expect(offer(state, request('more', 'urgent'), 0).kind).toEqual('refused');
});

test('a cancelled request is never dispatched, and a dispatched one cannot be cancelled', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('waiting', 'normal'), 0);
	expect(cancel(state, 'running')).toEqual(false);
	expect(cancel(state, 'waiting')).toEqual(true);
	expect(cancel(state, 'waiting')).toEqual(false);
	expect(release(state, 'running', end, 1).dispatch).toEqual([]);
});

test('a request that waits past its deadline is refused once', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('waiting', 'normal', {deadlineAt: 50}), 0);
	expect(expire(state, 49)).toEqual([]);
	expect(expire(state, 50).map(refused => refused.id)).toEqual(['waiting']);
	expect(expire(state, 51)).toEqual([]);
	expect(release(state, 'running', end, 60).refused).toEqual([]);
});

test('a request that can no longer be served before its deadline is refused, not dispatched', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('late', 'normal', {deadlineAt: 95}), 0);
	offer(state, request('in time', 'normal', {deadlineAt: 400}), 0);
	const {dispatch, refused} = release(state, 'running', end, 90);
	expect([dispatch, refused.map(({id}) => id)]).toEqual([['in time'], ['late']]);
});

test('a preset switch keeps the waiting requests', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('idle', 'idle'), 0);
	offer(state, request('urgent', 'urgent'), 0);
	changePolicy(state, {
		ranks: [
			{name: 'idle', floorShare: 0},
			{name: 'urgent', floorShare: 0},
		],
		admission: {queuePerSlot: 0, fairness: false},
	});
	expect(release(state, 'running', end, 1).dispatch).toEqual(['idle']);
	expect(cancel(state, 'urgent')).toEqual(true);
	expect(offer(state, request('late', 'urgent'), 2).kind).toEqual('refused');
});

test('shedding lowers the concurrency limit, which recovers later', () => {
	const state = createAdmission(policy, 10);
	for (let copy = 0; copy < 10; copy += 1) {
		offer(state, request(`${copy}`, 'normal'), 0);
	}

	release(state, '0', {serviceMilliseconds: 1, shed: true}, 0);
	expect(offer(state, request('more', 'normal'), 0).kind).toEqual('queued');
	for (let copy = 1; copy < 10; copy += 1) {
		release(state, `${copy}`, end, 1);
	}

	release(state, 'more', end, 2);
	for (let copy = 0; copy < 200; copy += 1) {
		offer(state, request(`again ${copy}`, 'normal'), 3);
		release(state, `again ${copy}`, end, 3);
	}

	expect(state.concurrency.limit).toEqual(10);
});

test('slots that a server adds are used at once', () => {
	const state = createAdmission(policy, 1);
	offer(state, request('running', 'normal'), 0);
	offer(state, request('waiting', 'normal'), 0);
	expect(changeSlots(state, 2, 1).dispatch).toEqual(['waiting']);
});

test('while urgent requests arrive, a flood of a lower rank leaves them a slot free', () => {
	const state = createAdmission(policy, 10);
	offer(state, request('first', 'urgent'), 0);
	for (let copy = 0; copy < 30; copy += 1) {
		offer(state, request(`idle ${copy}`, 'idle'), 0);
	}

	release(state, 'first', end, 1);
	expect(state.running.size).toEqual(9);
	expect(offer(state, request('second', 'urgent'), 1).kind).toEqual('dispatch');
});

test('without urgent requests a lower rank uses every slot', () => {
	const state = createAdmission(policy, 10);
	for (let copy = 0; copy < 30; copy += 1) {
		offer(state, request(`idle ${copy}`, 'idle'), 0);
	}

	expect(state.running.size).toEqual(10);
});
