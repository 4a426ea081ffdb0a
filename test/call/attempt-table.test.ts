/** The attempt table: what a cancellation proves, and which attempts are refused after it. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	admissionResults,
	admitAttempt,
	cancelAttempt,
	cancellationResults,
	createAttemptTable,
	dispatchAttempt,
	finishAttempt,
	formatAttemptId,
	formatIngress,
	nextSequence,
	parseAttemptId,
	type AttemptId,
	type AttemptTable,
	type AdmissionResult,
	type CancellationResult,
} from '../../src/call/index.js';

const propertySeed = 20_261_204;
const id: AttemptId = {ingress: 'a/1', sequence: 5};

type Case = {
	readonly name: string;
	readonly before?: (table: AttemptTable) => void;
	readonly cancelled: CancellationResult;
	readonly arrives: AdmissionResult;
	readonly dispatches: boolean;
};

const admit = (table: AttemptTable) => {
	admitAttempt(table, id);
};

const dispatch = (table: AttemptTable) => {
	admit(table);
	dispatchAttempt(table, id);
};

const finish = (table: AttemptTable) => {
	dispatch(table);
	finishAttempt(table, id);
};

const removeFromQueue = (table: AttemptTable) => {
	admit(table);
	finishAttempt(table, id);
};

const cases: readonly Case[] = [
	{
		name: 'not arrived',
		cancelled: cancellationResults.neverDispatched,
		arrives: admissionResults.tombstoned,
		dispatches: false,
	},
	{
		name: 'queued',
		before: admit,
		cancelled: cancellationResults.withdrawn,
		arrives: admissionResults.duplicate,
		dispatches: false,
	},
	{
		name: 'dispatched',
		before: dispatch,
		cancelled: cancellationResults.dispatched,
		arrives: admissionResults.duplicate,
		dispatches: false,
	},
	{
		name: 'finished',
		before: finish,
		cancelled: cancellationResults.finished,
		arrives: admissionResults.duplicate,
		dispatches: false,
	},
	{
		name: 'removed from the queue',
		before: removeFromQueue,
		cancelled: cancellationResults.neverDispatched,
		arrives: admissionResults.duplicate,
		dispatches: false,
	},
];

for (const row of cases) {
	test(`cancelling an attempt that is ${row.name} reports whether it can have run`, () => {
		const table = createAttemptTable();
		row.before?.(table);
		expect(cancelAttempt(table, id)).toEqual(row.cancelled);
		expect(admitAttempt(table, id)).toEqual(row.arrives);
		expect(dispatchAttempt(table, id)).toEqual(row.dispatches);
	});
}

test('an evicted tombstone still refuses its attempt, and a second cancellation proves nothing', () => {
	const table = createAttemptTable({settledAttempts: 1, ingresses: 2});
	cancelAttempt(table, id);
	cancelAttempt(table, {...id, sequence: 9});
	expect(cancelAttempt(table, id)).toEqual(cancellationResults.forgotten);
	expect(admitAttempt(table, id)).toEqual(admissionResults.belowFloor);
	expect(admitAttempt(table, {...id, sequence: 6})).toEqual(admissionResults.admitted);
});

test('evicting an ingress raises the floor of the ingresses that are not in the table', () => {
	const table = createAttemptTable({settledAttempts: 10, ingresses: 1});
	cancelAttempt(table, id);
	expect(admitAttempt(table, {ingress: 'b/1', sequence: 7})).toEqual(
		admissionResults.admitted,
	);
	expect(admitAttempt(table, {ingress: 'c/1', sequence: 8})).toEqual(
		admissionResults.tableFull,
	);
	expect(admitAttempt(table, id)).toEqual(admissionResults.belowFloor);
	expect(cancelAttempt(table, id)).toEqual(cancellationResults.forgotten);
});

const operation = fc.record({
	kind: fc.constantFrom('admit', 'dispatch', 'finish', 'cancel'),
	id: fc.record({
		ingress: fc.constantFrom('a/1', 'b/1'),
		sequence: fc.integer({min: 1, max: 5}),
	}),
});

test('an attempt that a cancellation or refusal proved not run never runs, in tables of any size', () => {
	const property = fc.property(
		fc.record({
			settledAttempts: fc.integer({min: 1, max: 3}),
			ingresses: fc.integer({min: 1, max: 2}),
		}),
		fc.array(operation, {maxLength: 60, size: 'max'}),
		(limits, operations) => {
			const table = createAttemptTable(limits);
			const arrived = new Set<string>();
			const ran = new Set<string>();
			const provenNotRun = new Set<string>();
			for (const {kind, id: attempt} of operations) {
				const name = formatAttemptId(attempt);
				// An ingress sends an attempt once.
				if (kind === 'admit' && !arrived.has(name)) {
					arrived.add(name);
					if (admitAttempt(table, attempt) !== admissionResults.admitted) {
						provenNotRun.add(name);
					}
				}

				if (kind === 'dispatch' && dispatchAttempt(table, attempt)) {
					expect(ran.has(name)).toEqual(false);
					ran.add(name);
				}

				if (kind === 'finish') {
					finishAttempt(table, attempt);
				}

				if (kind === 'cancel') {
					const cancellation = cancelAttempt(table, attempt);
					if (
						cancellation === cancellationResults.neverDispatched ||
						cancellation === cancellationResults.withdrawn
					) {
						provenNotRun.add(name);
					}
				}

				expect([...ran].filter(attempt => provenNotRun.has(attempt))).toEqual([]);
				expect(table.settled.size <= limits.settledAttempts).toEqual(true);
				expect(table.ingresses.size <= limits.ingresses).toEqual(true);
			}
		},
	);
	fc.assert(property, {seed: propertySeed, numRuns: 2000});
});

test('attempt ids round-trip through their header value and other text is rejected', () => {
	const property = fc.property(
		fc.string({minLength: 1}),
		fc.nat(),
		fc.integer({min: 1}),
		fc.string(),
		(nodeId, incarnation, sequence, noise) => {
			const attempt = {ingress: formatIngress(nodeId, incarnation), sequence};
			expect(parseAttemptId(formatAttemptId(attempt))).toEqual(attempt);
			const parsed = parseAttemptId(noise);
			expect(parsed === undefined || formatAttemptId(parsed) === noise).toEqual(true);
		},
	);
	fc.assert(property, {seed: propertySeed});
});

test('sequence numbers increase even if the clock goes back', () => {
	const first = nextSequence(0, 1000);
	expect(nextSequence(first, 500) > first).toEqual(true);
	expect(nextSequence(first, 2000)).toEqual(2000);
});
