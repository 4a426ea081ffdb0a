/** The next step after an attempt, for each result, kind of request and time left. */
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
	refusalsInRow: 1,
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

const notIdempotent = {idempotent: false};
const cases: ReadonlyArray<
	readonly [string, AttemptResult, Partial<CallProgress>, string]
> = [
	['a response is returned', answered(200), {}, 'answer'],
	['a failed idempotent request is retried', answered(500), {}, 'repeat'],
	[
		'a failure of a request that is not idempotent is returned',
		answered(500),
		notIdempotent,
		'answer',
	],
	[
		'a failure of the last allowed attempt is returned',
		answered(500),
		{serverAttempts: 2},
		'answer',
	],
	['a client error is returned', answered(404), {}, 'answer'],
	['a lost response to an idempotent request is retried', lost, {}, 'repeat'],
	[
		'a lost response to a request that is not idempotent ends the call',
		lost,
		notIdempotent,
		'end',
	],
	[
		'after a gate without a server the call is offered to another',
		refused(refusalKinds.noServer),
		notIdempotent,
		'offer',
	],
	[
		'after an overloaded gate the call is offered to another',
		refused(refusalKinds.overloaded),
		notIdempotent,
		'offer',
	],
	[
		'a retry refused by one overloaded gate is offered to another',
		refused(refusalKinds.overloaded),
		{},
		'offer',
	],
	[
		'a retry refused by two overloaded gates in a row ends',
		refused(refusalKinds.overloaded),
		{refusalsInRow: 2, offers: 3},
		'end',
	],
	[
		'a first attempt refused by two overloaded gates in a row is offered to another',
		refused(refusalKinds.overloaded),
		{refusalsInRow: 2, offers: 2, serverAttempts: 0},
		'offer',
	],
	[
		'after a leaving gate the call is offered to another',
		refused(refusalKinds.leaving),
		notIdempotent,
		'offer',
	],
	[
		'a shed request has not run and is retried',
		refused(refusalKinds.serverFailed),
		notIdempotent,
		'repeat',
	],
	[
		'a request shed at the last allowed attempt ends the call',
		refused(refusalKinds.serverFailed),
		{serverAttempts: 2},
		'end',
	],
	[
		'a call that may have run is not offered to another gate',
		refused(refusalKinds.noServer, outcomes.unknown),
		notIdempotent,
		'end',
	],
	['a cancelled request ends the call', refused(refusalKinds.cancelled), {}, 'end'],
	['the number of offers is limited', refused(refusalKinds.noServer), {offers: 6}, 'end'],
	['without enough time left the call ends', lost, {remainingMilliseconds: 5}, 'end'],
	['a streamed body is not sent twice', lost, {replayable: false}, 'end'],
];
for (const [name, result, patch, step] of cases) {
	test(name, () => {
		expect<string>(decideRelayStep(result, {...progress, ...patch})).toEqual(step);
	});
}

test('shed and lost requests reached a server, requests refused by a gate did not', () => {
	expect(reachedServer(refused(refusalKinds.noServer))).toEqual(false);
	expect(reachedServer(refused(refusalKinds.serverFailed))).toEqual(true);
	expect(reachedServer(lost)).toEqual(true);
});
