/** What the caller learns when the deadline passes while its request is at a gate. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	attemptResultKinds,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RunningAttempt,
} from '../../src/call/index.js';
import {memberStatuses, type Member} from '../../src/membership/index.js';
import {distances} from '../../src/placing/index.js';
import type {RelayCall} from '../../src/relay/call.js';
import {createRelayRunner} from '../../src/relay/call-runner.js';

const silent = (): void => undefined;
const log = {info: silent, warn: silent, error: silent};
const now = (): number => performance.now();

const member: Member = {
	nodeId: 'node-2',
	incarnation: 1,
	status: memberStatuses.alive,
	host: '127.0.0.1',
	peerPort: 1,
	controlPort: 1,
	region: 'coast',
	failureDomain: 'coast-1',
	service: 'search',
	slots: 4,
	revision: 1,
};

function createCall(): RelayCall {
	const at = now();
	return {
		requestId: 'request',
		route: 'route',
		service: 'search',
		method: 'POST',
		path: '/',
		headers: [],
		body: new Uint8Array(0),
		originService: 'search',
		rank: 1,
		idempotent: false,
		nested: false,
		targetMilliseconds: 40,
		arrivedAt: at,
		targetAt: at + 40,
		deadlineAt: at + 80,
		maximumAttempts: 2,
		team: undefined,
		homes: undefined,
	};
}

/** Runs a call whose only gate keeps it beyond its deadline. */
async function runPastDeadline(
	withdraw: RunningAttempt['withdraw'],
): Promise<AttemptResult> {
	const run = createRelayRunner({
		ingressName: 'node-1/1',
		nodeId: 'node-1',
		gate: {run: () => ({result: new Promise(silent), cancel: silent})},
		peers: {send: () => ({result: new Promise(silent), cancel: silent, withdraw})},
		placer: {
			orderGates: async (_call, excluded) =>
				excluded.has(member.nodeId)
					? []
					: [
							{
								nodeId: member.nodeId,
								distance: distances.failureDomain,
								report: undefined,
								roundTripMilliseconds: 1,
								score: 1,
								expectedResponseMilliseconds: 20,
								member,
								reportAgeMilliseconds: 0,
							},
						],
		},
		log,
		now,
		random: () => 0.5,
		wallClock: Date.now,
	});
	return run(createCall()).result;
}

const deadlineCases = [
	['withdrawn where it waited', async () => true, outcomes.notRun],
	['dispatched already', async () => false, outcomes.unknown],
	['at a gate that cannot be asked', undefined, outcomes.unknown],
	[
		'at a gate that does not answer',
		async () => new Promise<boolean>(silent),
		outcomes.unknown,
	],
] as const;

for (const [state, withdraw, outcome] of deadlineCases) {
	test(`at the deadline a request ${state} has the outcome ${outcome}`, async () => {
		const result = await runPastDeadline(withdraw);
		expect(result).toLooseEqual({
			kind: attemptResultKinds.refused,
			refusal: createRefusal(
				refusalKinds.deadlineExceeded,
				'no response came before the deadline: allow more time, or try again later',
			),
			outcome,
			load: undefined,
		});
	});
}
