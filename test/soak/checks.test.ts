/** Each check of the soak detects its violation, and reports nothing for valid evidence. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	findViolations,
	type Bounds,
	type Evidence,
	type SentRequest,
} from '../../soak/checks.js';
import {generateSchedule, isDisturbance} from '../../soak/faults.js';

const bounds: Bounds = {
	maximumAttempts: 2,
	drainMilliseconds: 2000,
	limitContactMilliseconds: 3000,
	retryRatio: 0.2,
	retrySlack: 58,
	propagationMilliseconds: 2000,
	settleMilliseconds: 3000,
	overdueMilliseconds: 500,
	deadlineMilliseconds: 1500,
};

const served: SentRequest = {
	id: 'one',
	node: 0,
	restartCount: 0,
	idempotent: false,
	sentAt: 10_000,
	endedAt: 10_050,
	status: 200,
	answeredId: 'one',
	seal: 'seal-one',
	body: 'answer to one',
	outcome: 'ran',
	sinceVersion: 0,
};

function createEvidence(changes: Partial<Evidence>): Evidence {
	return {
		requests: [served],
		runs: [{id: 'one', server: 'server-0', at: 10_010}],
		drains: [],
		limits: [],
		versions: [],
		disturbances: [],
		isPlanned: true,
		...changes,
	};
}

const run = {id: 'one', server: 'server-0', at: 10_010};
const refused: SentRequest = {...served, status: 503, outcome: 'not-run', body: ''};
const denied: SentRequest = {...refused, status: 404, sinceVersion: 2};
const later = {sentAt: 10_100, endedAt: 10_120};

const limit = {server: 'server-0', requestsPerSecond: 2, from: 5000, until: 20_000};
const crowd = (count: number, at: number) =>
	Array.from({length: count}, (_, index) => ({...run, id: `run-${index}`, at}));

const cases: ReadonlyArray<readonly [string, Partial<Evidence>, string | undefined]> = [
	['valid evidence has no findings', {}, undefined],
	[
		'a response to another request is found',
		{requests: [{...served, answeredId: 'two'}]},
		'mixed',
	],
	[
		'a truncated response is found',
		{requests: [{...served, body: 'answer to on'}]},
		'mixed',
	],
	['a second run of a non-idempotent request is found', {runs: [run, run]}, 'twice'],
	[
		'a sound request that is refused as one that crashes servers is found',
		{requests: [{...refused, refusal: 'quarantined'}], runs: []},
		'quarantined',
	],
	[
		'retries beyond the limit over all servers are found',
		{
			runs: Array.from({length: 60}, (_, index) => [
				{...run, id: `retried-${index}`},
				{...run, id: `retried-${index}`, server: 'server-1', at: run.at + 100},
			]).flat(),
		},
		'retries',
	],
	['a refusal of a request that ran is found', {requests: [refused]}, 'not run'],
	[
		'a request sent to a drained server is found',
		{drains: [{server: 'server-0', acknowledgedAt: 8000}]},
		'leaving',
	],
	[
		'a request within the drain bound is accepted',
		{drains: [{server: 'server-0', acknowledgedAt: 9000}]},
		undefined,
	],
	[
		'more requests than a limit allows are found',
		{limits: [limit], runs: crowd(18, 10_010)},
		'limit',
	],
	[
		'as many requests as a limit allows are accepted',
		{limits: [limit], runs: crowd(17, 10_010)},
		undefined,
	],
	[
		'requests before a limit holds are accepted',
		{limits: [limit], runs: crowd(18, 7900)},
		undefined,
	],
	[
		'a 404 for a route stored long before is found',
		{requests: [denied], runs: [], versions: [{version: 2, at: 7000}]},
		'behind',
	],
	[
		'a 404 close to a disturbance is accepted',
		{
			requests: [denied],
			runs: [],
			versions: [{version: 2, at: 7000}],
			disturbances: [{from: 6000, until: 8000, target: undefined}],
		},
		undefined,
	],
	[
		'a 404 for a route that the node has served is found',
		{
			requests: [
				{...served, sinceVersion: 2},
				{...denied, ...later, id: 'two'},
			],
			versions: [{version: 2, at: 9900}],
		},
		'back',
	],
	[
		'a request cut off by planned operations is found',
		{requests: [{...served, status: 0}]},
		'cut',
	],
	[
		'a response long after the deadline is found',
		{requests: [{...served, endedAt: 12_100}]},
		'held',
	],
];

for (const [name, changes, finding] of cases) {
	test(`soak check: ${name}`, () => {
		const findings = findViolations(createEvidence(changes), bounds);
		expect(findings.map(text => text.split(':')[0])).toEqual(
			finding === undefined ? [] : [finding],
		);
	});
}

test('a seed always gives the same faults, and a planned run has no disturbances', () => {
	expect(generateSchedule(7, 6, 10_000)).toEqual(generateSchedule(7, 6, 10_000));
	const planned = generateSchedule(8, 6, 30_000);
	expect(planned.isPlanned).toEqual(true);
	expect(planned.faults.some(({kind}) => isDisturbance(kind))).toEqual(false);
});
