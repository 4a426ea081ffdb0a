/** What follows an attempt, for each result, kind of work and time left. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	attemptResultKinds,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type Outcome,
	type RefusalKind,
} from '../../src/call/index.js';
import {
	decideRelayStep,
	reachedServer,
	type CallProgress,
} from '../../src/relay/next-step.js';

const progress: CallProgress = {
	idempotent: true,
	replayable: true,
	serverAttempts: 1,
	maximumAttempts: 2,
	offers: 1,
	remainingMilliseconds: 500,
};

const lost: AttemptResult = {kind: attemptResultKinds.lost, message: 'reset'};

function answered(status: number): AttemptResult {
	return {
		kind: attemptResultKinds.answered,
		status,
		headers: [],
		body: new Uint8Array(0),
		load: undefined,
	};
}

function refused(kind: RefusalKind, outcome: Outcome = outcomes.notRun): AttemptResult {
	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(kind, 'refused'),
		outcome,
		load: undefined,
	};
}

const unsafe = {idempotent: false};
const cases: ReadonlyArray<
	readonly [string, AttemptResult, Partial<CallProgress>, string]
> = [
	['an answer is passed on', answered(200), {}, 'answer'],
	['a failure of idempotent work is tried again', answered(500), {}, 'repeat'],
	['a failure of other work is passed on', answered(500), unsafe, 'answer'],
	[
		'a failure at the last server is passed on',
		answered(500),
		{serverAttempts: 2},
		'answer',
	],
	['a client error is passed on', answered(404), {}, 'answer'],
	['a lost answer of idempotent work is tried again', lost, {}, 'repeat'],
	['a lost answer of other work ends it', lost, unsafe, 'end'],
	[
		'a gate without a server is passed over',
		refused(refusalKinds.noServer),
		unsafe,
		'offer',
	],
	['a full gate is passed over', refused(refusalKinds.overloaded), unsafe, 'offer'],
	['a leaving gate is passed over', refused(refusalKinds.leaving), unsafe, 'offer'],
	[
		'shed work has not run and may be sent again',
		refused(refusalKinds.serverFailed),
		unsafe,
		'repeat',
	],
	[
		'shed work ends at the last server',
		refused(refusalKinds.serverFailed),
		{serverAttempts: 2},
		'end',
	],
	[
		'what may have run elsewhere is not offered on',
		refused(refusalKinds.noServer, outcomes.unknown),
		unsafe,
		'end',
	],
	['a withdrawn request ends', refused(refusalKinds.cancelled), {}, 'end'],
	['offers are bounded', refused(refusalKinds.noServer), {offers: 6}, 'end'],
	['no try begins without time', lost, {remainingMilliseconds: 5}, 'end'],
	['a stream is not sent twice', lost, {replayable: false}, 'end'],
];
for (const [name, result, patch, step] of cases) {
	test(name, () => {
		expect<string>(decideRelayStep(result, {...progress, ...patch})).toEqual(step);
	});
}

test('a refusal of a gate is no arrival, shed and lost requests are', () => {
	expect(reachedServer(refused(refusalKinds.noServer))).toEqual(false);
	expect(reachedServer(refused(refusalKinds.serverFailed))).toEqual(true);
	expect(reachedServer(lost)).toEqual(true);
});
