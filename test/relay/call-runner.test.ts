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
import {createCrashQuarantine} from '../../src/relay/crash-quarantine.js';
import {createRelayRunner} from '../../src/relay/call-runner.js';

const silent = (): void => undefined;
const log = {info: silent, warn: silent, error: silent};
/** The clock stands still, so that the time left does not depend on the machine. */
const now = (): number => 1000;

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
		repeated: false,
		targetMilliseconds: 40,
		arrivedAt: at,
		targetAt: at + 40,
		deadlineAt: at + 80,
		maximumAttempts: 2,
		team: undefined,
		homes: undefined,
	};
}

/** Runs a call that its first gate, and then perhaps its second one, keeps beyond its deadline. */
async function runPastDeadline(...attempts: RunningAttempt[]): Promise<AttemptResult> {
	const pending = attempts.map((attempt, index) => ({attempt, nodeId: `gate-${index}`}));
	const run = createRelayRunner({
		ingressName: 'node-1/1',
		nodeId: 'node-1',
		gate: {run: () => ({result: new Promise(silent), cancel: silent})},
		peers: {send: ({nodeId}) => pending.find(gate => gate.nodeId === nodeId)!.attempt},
		placer: {
			orderGates: async (_call, excluded) =>
				pending
					.filter(({nodeId}) => !excluded.has(nodeId))
					.map(({nodeId}) => ({
						nodeId,
						distance: distances.failureDomain,
						report: undefined,
						roundTripMilliseconds: 1,
						score: 1,
						expectedResponseMilliseconds: 20,
						member: {...member, nodeId},
						leaving: undefined,
						reportAgeMilliseconds: 0,
					})),
		},
		quarantine: createCrashQuarantine({nodeName: 'node-1/1', log, now}),
		log,
		now,
		random: () => 0.5,
		wallClock: Date.now,
	});
	return run(createCall()).result;
}

/** An attempt without a result. */
function createWaiting(withdraw: RunningAttempt['withdraw']): RunningAttempt {
	return {result: new Promise(silent), cancel: silent, withdraw};
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
		const result = await runPastDeadline(createWaiting(withdraw));
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

test('the answer of a gate that has refused meanwhile says nothing about the next gate', async () => {
	let refuse!: (result: AttemptResult) => void;
	const refused: RunningAttempt = {
		result: new Promise<AttemptResult>(resolve => {
			refuse = resolve;
		}),
		cancel: silent,
		async withdraw() {
			refuse({
				kind: attemptResultKinds.refused,
				refusal: createRefusal(refusalKinds.leaving, 'leaving'),
				outcome: outcomes.notRun,
				load: undefined,
			});
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			return true;
		},
	};
	const result = await runPastDeadline(refused, createWaiting(undefined));
	expect(result.kind === attemptResultKinds.refused && result.outcome).toEqual(
		outcomes.unknown,
	);
});
