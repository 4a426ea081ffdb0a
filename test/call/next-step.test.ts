/** What follows an attempt, by method, result and time. */
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
const fresh = {attempts: 1, replayable: true, grantRetry: () => true};
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
		name: 'an answer is passed on',
		head,
		result: answered,
		progress: fresh,
		step: 'answer',
	},
	{
		name: 'a loss is tried again if idempotent',
		head: idempotentHead,
		result: lost,
		progress: fresh,
		step: 'retry',
	},
	{
		name: 'a loss ends a call that must not repeat',
		head,
		result: lost,
		progress: fresh,
		step: 'end',
	},
	{
		name: 'overload of one server is tried elsewhere',
		head,
		result: overloaded,
		progress: fresh,
		step: 'retry',
	},
	{
		name: 'quarantine holds everywhere',
		head: idempotentHead,
		result: quarantined,
		progress: fresh,
		step: 'end',
	},
	{
		name: 'an unknown outcome ends a call that must not repeat',
		head,
		result: failed,
		progress: fresh,
		step: 'end',
	},
	{
		name: 'an unknown outcome is tried again if idempotent',
		head: idempotentHead,
		result: failed,
		progress: fresh,
		step: 'retry',
	},
	{
		name: 'a body that was read cannot be sent again',
		head: idempotentHead,
		result: lost,
		progress: {...fresh, replayable: false},
		step: 'end',
	},
	{
		name: 'the budget is spent',
		head: idempotentHead,
		result: lost,
		progress: {...fresh, grantRetry: () => false},
		step: 'end',
	},
	{
		name: 'attempts are bounded',
		head: idempotentHead,
		result: lost,
		progress: {...fresh, attempts: maximumAttempts},
		step: 'end',
	},
	{
		name: 'the deadline has passed',
		head: {...idempotentHead, deadlineAt: now},
		result: lost,
		progress: fresh,
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

test('the budget is not spent on a step that takes no retry', () => {
	let spent = 0;
	const progress = {
		...fresh,
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
		name: 'what may have run is unknown',
		mayHaveRun: true,
		deadlineAt: now + 100,
		outcome: 'unknown',
	},
	{
		name: 'what provably did not run is tried elsewhere in time',
		mayHaveRun: false,
		deadlineAt: now + 100,
		outcome: undefined,
	},
	{
		name: 'what provably did not run is said so after the deadline',
		mayHaveRun: false,
		deadlineAt: now,
		outcome: 'not-run',
	},
] as const;

for (const row of ends) {
	test(`end of a call: ${row.name}`, () => {
		const outcome = decideOutcome(
			{...head, deadlineAt: row.deadlineAt},
			row.mayHaveRun,
			fresh,
			now,
		);
		expect(outcome).toEqual(row.outcome);
	});
}
