/** The ledger: a key runs at most once, and no key is evicted before its expiry. */
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	beginClosing,
	claimKey,
	claimKinds,
	createLedger,
	decodeClosing,
	encodeClosing,
	findExecutionOutcome,
	executionOutcomes,
	finishClosing,
	markAnswered,
	markDispatched,
	markLost,
	markNotRun,
	type ClaimKind,
	type KeptAnswer,
	type Ledger,
} from '../../src/binding/index.js';

const limits = {keys: 2, bodyBytes: 100, bodyBytesPerKey: 60};
const request = {keyId: 'k', fingerprint: 'f', expiresAt: 1000};
const answer: KeptAnswer = {status: 201, headers: [], body: Buffer.from('booked')};
const home = {nodeId: 'north-1', incarnation: 'k3Yw'};

type Case = {
	readonly name: string;
	readonly before?: (ledger: Ledger) => void;
	readonly claim: ClaimKind;
	readonly now?: number;
	readonly fingerprint?: string;
};

const runKey = (ledger: Ledger) => {
	claimKey(ledger, request, 0);
	markDispatched(ledger, 'k');
};

const runAndAnswer = (ledger: Ledger) => {
	runKey(ledger);
	markAnswered(ledger, 'k', answer);
};

const fillLedger = (ledger: Ledger) => {
	claimKey(ledger, {...request, keyId: 'x', expiresAt: 500}, 0);
	claimKey(ledger, {...request, keyId: 'y'}, 0);
	markAnswered(ledger, 'x', answer);
};

const cases: readonly Case[] = [
	{name: 'new', claim: claimKinds.run},
	{name: 'running', before: runKey, claim: claimKinds.join},
	{name: 'answered', before: runAndAnswer, claim: claimKinds.answered},
	{
		name: 'running, with another request',
		before: runKey,
		claim: claimKinds.conflict,
		fingerprint: 'g',
	},
	{
		name: 'answered, with another request',
		before: runAndAnswer,
		claim: claimKinds.conflict,
		fingerprint: 'g',
	},
	{
		name: 'lost',
		before(ledger) {
			runKey(ledger);
			markLost(ledger, 'k');
		},
		claim: claimKinds.unknown,
	},
	{
		name: 'lost and later reported as not run',
		before(ledger) {
			runKey(ledger);
			markLost(ledger, 'k');
			markNotRun(ledger, 'k');
		},
		claim: claimKinds.unknown,
	},
	{
		name: 'proven not run',
		before(ledger) {
			runKey(ledger);
			markNotRun(ledger, 'k');
		},
		claim: claimKinds.run,
	},
	{name: 'expired', claim: claimKinds.expired, now: 1000},
	{
		name: 'expired, after which the wall clock goes back',
		before(ledger) {
			claimKey(ledger, request, 1000);
		},
		claim: claimKinds.expired,
		now: 10,
	},
	{
		name: 'expired and still in the ledger',
		before: runAndAnswer,
		claim: claimKinds.answered,
		now: 2000,
	},
	{name: 'new to a full ledger', before: fillLedger, claim: claimKinds.full, now: 499},
	{
		name: 'new to a ledger whose oldest key has expired',
		before: fillLedger,
		claim: claimKinds.run,
		now: 500,
	},
	{name: 'new to a closing ledger', before: beginClosing, claim: claimKinds.closing},
	{
		name: 'new to a closed ledger',
		before(ledger) {
			beginClosing(ledger);
			finishClosing(ledger, 0);
		},
		claim: claimKinds.closed,
	},
	{
		name: 'answered in a closed ledger',
		before(ledger) {
			runAndAnswer(ledger);
			beginClosing(ledger);
			finishClosing(ledger, 0);
		},
		claim: claimKinds.answered,
	},
];

for (const row of cases) {
	test(`a key that is ${row.name}: ${row.claim}`, () => {
		const ledger = createLedger(limits);
		row.before?.(ledger);
		const fingerprint = row.fingerprint ?? request.fingerprint;
		const claim = claimKey(ledger, {...request, fingerprint}, row.now ?? 0);
		expect(claim.kind).toEqual(row.claim);
	});
}

test('a body beyond the limits is dropped, and the rest of the answer is kept', () => {
	const ledger = createLedger(limits);
	runKey(ledger);
	markAnswered(ledger, 'k', {...answer, body: Buffer.alloc(61)});
	const claim = claimKey(ledger, request, 0);
	expect(claim).toEqual({
		kind: claimKinds.answered,
		answer: {...answer, body: undefined},
	});
});

test('a ledger closes only when no key is running, and its summary gives the outcome of each key', () => {
	const ledger = createLedger();
	runAndAnswer(ledger);
	claimKey(ledger, {...request, keyId: 'lost'}, 0);
	beginClosing(ledger);
	expect(finishClosing(ledger, 0)).toEqual(undefined);
	markLost(ledger, 'lost');
	const keys = finishClosing(ledger, 900);
	const closing = decodeClosing(encodeClosing(home, keys!));
	const findOutcome = (keyId: string, expiresAt = 1000) =>
		findExecutionOutcome({keyId, expiresAt}, closing);
	expect(findOutcome('k')).toEqual(executionOutcomes.ran);
	expect(findOutcome('lost')).toEqual(executionOutcomes.unknown);
	expect(findOutcome('other')).toEqual(executionOutcomes.notRun);
	expect(findOutcome('expired and perhaps evicted', 900)).toEqual(
		executionOutcomes.unknown,
	);
	expect(findExecutionOutcome(request, undefined)).toEqual(executionOutcomes.unknown);
});

test('a summary without the incarnation of its home is rejected', () => {
	const ledger = createLedger();
	runAndAnswer(ledger);
	beginClosing(ledger);
	const keys = finishClosing(ledger, 900);
	expect(decodeClosing(encodeClosing({...home, incarnation: ''}, keys!))).toEqual(
		undefined,
	);
});

test('a malformed summary is rejected', () => {
	for (const text of ['', 'AAAA', 'not a summary', '/////w==']) {
		expect(decodeClosing(text)).toEqual(undefined);
	}
});

const step = fc.record({
	kind: fc.constantFrom('claim', 'dispatch', 'answer', 'notRun', 'lose', 'tick'),
	key: fc.integer({min: 0, max: 2}),
	time: fc.integer({min: -200, max: 200}),
});

test('no key runs twice, for any ledger size and any changes of the wall clock', () => {
	const property = fc.property(
		fc.integer({min: 1, max: 2}),
		fc.array(step, {maxLength: 80, size: 'max'}),
		(keys, steps) => {
			const ledger = createLedger({...limits, keys});
			const ran = new Set<string>();
			let now = 0;
			for (const {kind, key, time} of steps) {
				const keyId = String(key);
				now += kind === 'tick' ? time : 0;
				const expiresAt = 100 * (key + 1);
				if (
					kind === 'claim' &&
					claimKey(ledger, {...request, keyId, expiresAt}, now).kind === 'run'
				) {
					expect(ran.has(keyId)).toEqual(false);
				}

				const isRunning = ledger.entries.get(keyId)?.state === 'claimed';
				if (kind === 'dispatch' && isRunning) {
					markDispatched(ledger, keyId);
					ran.add(keyId);
				}

				if (kind === 'answer') {
					markAnswered(ledger, keyId, answer);
				}

				if (kind === 'lose') {
					markLost(ledger, keyId);
				}

				if (kind === 'notRun' && !ran.has(keyId)) {
					markNotRun(ledger, keyId);
				}

				expect(ledger.entries.size <= keys).toEqual(true);
			}
		},
	);
	fc.assert(property, {seed: 20_261_204, numRuns: 2000});
});
