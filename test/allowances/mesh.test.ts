/** A team's cap over many nodes, through joins, cuts, freezes, restarts, floods and lost datagrams. */
import {describe, test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {computeLimit} from '../../src/allowances/index.js';
import type {Team} from '../../src/routes/index.js';
import {
	countBusiestWindow,
	createSimulatedMesh,
	windowMilliseconds,
} from './simulated-mesh.js';

const lossless = {seed: 1, nodeCount: 20, lossShare: 0};

type Mesh = ReturnType<typeof createSimulatedMesh>;

const cap = (requestsPerSecond: number, name = 'parcels'): Team => ({
	name,
	keys: [],
	rank: undefined,
	homes: [],
	requestsPerSecond,
	burst: requestsPerSecond,
});

/** What may run in a window at most. */
const allowed = (team: Team) => computeLimit(team, windowMilliseconds) * 1.1 + 20;
const floodFactor = 4;
const start = 4000;
const end = 20_000;

async function play(
	team: Team,
	demand: number,
	disturb: (mesh: Mesh) => void,
	options = lossless,
): Promise<Mesh> {
	const mesh = createSimulatedMesh(options);
	mesh.setTeams([team]);
	mesh.send(team, demand, start, end);
	disturb(mesh);
	await mesh.run(end + 1000);
	return mesh;
}

const disturbances: ReadonlyArray<readonly [string, (mesh: Mesh) => void]> = [
	['no fault', () => undefined],
	[
		'all nodes killed at one moment',
		mesh => {
			mesh.at(9000, () => {
				mesh.kill(mesh.nodes, 800);
			});
		},
	],
	[
		'a third of the nodes cut off',
		mesh => {
			mesh.at(9000, () => {
				mesh.cut(mesh.nodes.slice(0, 7), 6000);
			});
		},
	],
	[
		'half of the nodes frozen',
		mesh => {
			mesh.at(9000, () => {
				mesh.freeze(mesh.nodes.slice(0, 10), 3000);
			});
		},
	],
	[
		'one node cut off after the other',
		mesh => {
			for (const [index, node] of mesh.nodes.entries()) {
				mesh.at(8000 + index * 300, () => {
					mesh.cut([node], 1500);
				});
			}
		},
	],
	[
		'nodes restarted in turn',
		mesh => {
			for (const [index, node] of mesh.nodes.entries()) {
				mesh.at(8000 + index * 400, () => {
					mesh.kill([node], 700);
				});
			}
		},
	],
];

describe('a team far above its cap', () => {
	for (const [title, disturb] of disturbances) {
		for (const rate of [0.4, 6, 134]) {
			test(`${title}, ${rate} a second`, async () => {
				const team = cap(rate);
				const mesh = await play(team, rate * floodFactor, disturb);
				expect(countBusiestWindow(mesh.accepted) <= allowed(team)).toEqual(true);
			});
		}
	}
});

test('a team uses what its cap allows', async () => {
	const team = cap(60);
	const {accepted} = await play(team, 60 * floodFactor, () => undefined);
	const seconds = (end - start) / 1000;
	expect(accepted.length >= 60 * seconds * 0.97).toEqual(true);
});

test('a team that suddenly exceeds its cap is never left without', async () => {
	const team = cap(60);
	const {accepted} = await play(team, 60 * floodFactor, () => undefined);
	for (let second = start; second < end; second += 1000) {
		const count = accepted.filter(at => at >= second && at < second + 1000).length;
		expect(count >= 60 * 0.9).toEqual(true);
	}
});

for (const rate of [0.5, 8, 134]) {
	test(`below a cap of ${rate} a second nothing is refused`, async () => {
		const {refused} = await play(cap(rate), rate * 0.5, () => undefined);
		expect(refused.length).toEqual(0);
	});
}

test('lost datagrams cost a team below its cap little', async () => {
	const options = {seed: 2, nodeCount: 20, lossShare: 0.05};
	const {accepted, refused} = await play(cap(40), 24, () => undefined, options);
	expect(refused.length <= accepted.length * 0.02).toEqual(true);
});

test('a lowered cap binds one window after the nodes know of it', async () => {
	const lower = cap(20);
	const changedAt = 8000;
	const {accepted} = await play(cap(80), 160, mesh => {
		mesh.at(changedAt, () => {
			mesh.setTeams([lower]);
		});
	});
	const known = accepted.filter(moment => moment > changedAt + 300);
	const late = known.filter(moment => moment > changedAt + 300 + windowMilliseconds);
	expect(countBusiestWindow(late) <= allowed(lower)).toEqual(true);
	expect(late.length > 0).toEqual(true);
});

const disturbance = fc.record({
	kind: fc.constantFrom('kill', 'freeze', 'cut'),
	at: fc.integer({min: 5000, max: 15_000}),
	first: fc.integer({min: 0, max: 15}),
	count: fc.integer({min: 1, max: 8}),
	milliseconds: fc.integer({min: 200, max: 5000}),
});

test('the cap holds through any faults', async () => {
	const history = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		rate: fc.constantFrom(0.5, 5, 30, 90),
		factor: fc.constantFrom(0.8, 2, 6),
		lossShare: fc.constantFrom(0, 0.05, 0.2),
		faults: fc.array(disturbance, {maxLength: 6}),
	});
	await fc.assert(
		fc.asyncProperty(history, async ({seed, rate, factor, lossShare, faults}) => {
			const team = cap(rate);
			const options = {seed, nodeCount: 16, lossShare};
			const mesh = await play(
				team,
				rate * factor,
				({at, nodes, kill, freeze, cut}) => {
					for (const {kind, at: moment, first, count, milliseconds} of faults) {
						at(moment, () => {
							const chosen = nodes.slice(first, first + count);
							({kill, freeze, cut})[kind](chosen, milliseconds);
						});
					}
				},
				options,
			);
			const busiest = countBusiestWindow(mesh.accepted);
			expect(busiest <= allowed(team)).toEqual(true);
		}),
		{numRuns: 25, seed: 20_261_204},
	);
});
