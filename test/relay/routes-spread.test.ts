/** How long a change takes from the node that reads it to the last node of a mesh. */
import {test} from 'node:test';
import {expect} from 'earl';
import {simulateSpread} from './simulated-routes.js';

const configurationMilliseconds = 3000;
/** When a node that the table serves has asked it at the latest, after all pollers were refused. */
const latestQuestionMilliseconds = 2200;
const spreadMilliseconds = configurationMilliseconds - latestQuestionMilliseconds;
const mesh = {nodes: 71, domains: 6, regions: 3};
const seeds = Array.from({length: 20}, (_, index) => index + 1);

test('a change that one node reads is in force at all nodes within what the question leaves', async () => {
	const slowest: number[] = [];
	for (const seed of seeds) {
		const {delays} = await simulateSpread({
			...mesh,
			seed,
			isServed: ({nodeId}) => nodeId === 'node-1',
			bound: configurationMilliseconds,
		});
		slowest.push(Math.max(...delays));
	}

	expect(slowest.filter(delay => delay > spreadMilliseconds)).toEqual([]);
});

test('a region none of whose nodes the table serves gets the last of several changes in quick succession', async () => {
	const slowest: number[] = [];
	for (const seed of seeds) {
		const {delays} = await simulateSpread({
			...mesh,
			seed,
			isServed: ({nodeId}) => nodeId === 'node-1',
			pauses: [50, 90],
			bound: configurationMilliseconds,
		});
		slowest.push(Math.max(...delays));
	}

	expect(slowest.filter(delay => delay > spreadMilliseconds)).toEqual([]);
});

test('a change reaches a region whose own nodes and announcers cannot pass it on', async () => {
	for (const seed of seeds) {
		const {delays} = await simulateSpread({
			...mesh,
			seed,
			isServed: ({nodeId}) => nodeId === 'node-1',
			// Every seventh node is unreachable, though nobody knows it yet.
			isSilent: ({nodeId}) => Number(nodeId.split('-')[1]) % 7 === 3,
			bound: configurationMilliseconds,
		});
		const reachable = delays.filter((_delay, index) => index % 7 !== 3);
		expect(Math.max(...reachable)).toBeLessThanOrEqual(configurationMilliseconds);
	}
});
