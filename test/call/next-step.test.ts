/** The next step after an attempt, by method, result and time. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createRefusal,
	decideOutcome,
	decideNextStep,
	maximumAttempts,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type CallHead,
	type Outcome,
	type RefusalKind,
} from '../../src/call/index.js';

const now = 1000;
const head: CallHead = {
	service: 'booking',
	method: 'POST',
	path: '/bays',
	rank: 'urgent',
	caller: 'studio',
	deadlineAt: now + 100,
	idempotent: false,
	key: undefined,
	isFirstSending: true,
	retries: 0,
};
const idempotentHead = {...head, method: 'GET', idempotent: true};
const firstAttempt = {attempts: 1, replayable: true, grantRetry: () => true};
const lost: AttemptResult = {kind: 'lost', message: 'reset'};
const answered: AttemptResult = {
	kind: 'answered',
	status: 200,
	headers: [],
	body: new Uint8Array(0),
	load: undefined,
};

function refused(kind: RefusalKind, outcome: Outcome): AttemptResult {
	return {
		kind: 'refused',
		refusal: createRefusal(kind, 'try again'),
		outcome,
		load: undefined,
	};
}

const overloaded = refused(refusalKinds.overloaded, outcomes.notRun);
const quarantined = refused(refusalKinds.quarantined, outcomes.notRun);
const failed = refused(refusalKinds.serverFailed, outcomes.unknown);

const steps = [
	{
		name: 'a response is forwarded',
		head,
		result: answered,
		progress: firstAttempt,
		step: 'answer',
	},
	{
		name: 'a lost attempt of an idempotent call is retried',
		head: idempotentHead,
		result: lost,
		progress: firstAttempt,
		step: 'retry',
	},
	{
		name: 'a lost attempt ends a call that is not idempotent',
		head,
		result: lost,
		progress: firstAttempt,
		step: 'end',
	},
	{
		name: 'a refusal by an overloaded server is retried on another',
		head,
		result: overloaded,
		progress: firstAttempt,
		step: 'retry',
	},
	{
		name: 'a refusal by quarantine is not retried',
		head: idempotentHead,
		result: quarantined,
		progress: firstAttempt,
		step: 'end',
	},
	{
		name: 'an unknown outcome ends a call that is not idempotent',
		head,
		result: failed,
		progress: firstAttempt,
		step: 'end',
	},
	{
		name: 'an idempotent call with an unknown outcome is retried',
		head: idempotentHead,
		result: failed,
		progress: firstAttempt,
		step: 'retry',
	},
	{
		name: 'a call whose body cannot be replayed ends',
		head: idempotentHead,
		result: lost,
		progress: {...firstAttempt, replayable: false},
		step: 'end',
	},
	{
		name: 'a call ends when the retry budget is spent',
		head: idempotentHead,
		result: lost,
		progress: {...firstAttempt, grantRetry: () => false},
		step: 'end',
	},
	{
		name: 'a call ends at the maximum number of attempts',
		head: idempotentHead,
		result: lost,
		progress: {...firstAttempt, attempts: maximumAttempts},
		step: 'end',
	},
	{
		name: 'a call ends when its deadline has passed',
		head: {...idempotentHead, deadlineAt: now},
		result: lost,
		progress: firstAttempt,
		step: 'end',
	},
] as const;

for (const row of steps) {
	test(`next step: ${row.name}`, () => {
		expect(decideNextStep(row.head, row.result, row.progress, now).kind).toEqual(
			row.step,
		);
	});
}

test('a step that is not a retry does not spend the budget', () => {
	let spent = 0;
	const progress = {
		...firstAttempt,
		grantRetry() {
			spent += 1;
			return true;
		},
	};
	decideNextStep(head, lost, progress, now);
	decideNextStep(idempotentHead, quarantined, progress, now);
	expect(spent).toEqual(0);
});

const ends = [
	{
		name: 'a call that may have run is unknown',
		mayHaveRun: true,
		deadlineAt: now + 100,
		outcome: 'unknown',
	},
	{
		name: 'a call that provably did not run is retried before its deadline',
		mayHaveRun: false,
		deadlineAt: now + 100,
		outcome: undefined,
	},
	{
		name: 'a call that provably did not run is not-run after its deadline',
		mayHaveRun: false,
		deadlineAt: now,
		outcome: 'not-run',
	},
] as const;

for (const row of ends) {
	test(`outcome of a call: ${row.name}`, () => {
		const outcome = decideOutcome(
			{...head, deadlineAt: row.deadlineAt},
			row.mayHaveRun,
			firstAttempt,
			now,
		);
		expect(outcome).toEqual(row.outcome);
	});
}
