/** Seeds: address parsing, the owners of seed rows, and the read and write delays. */
import {test} from 'node:test';
import {expect} from 'earl';
import {type Member} from '../../src/membership/member.js';
import {
	chooseSeedReadDelay,
	chooseSeedRowDelay,
	chooseSeedRow,
	parseSeedAddress,
	seedRowIntervalMilliseconds,
	seedRowsPerFailureDomain,
} from '../../src/membership/seeds.js';
import {createSeedTable} from '../../src/membership/seed-table.js';
import {withTable} from '../support/table.js';
import {describeMember} from './simulated-mesh.js';

const addresses: ReadonlyArray<readonly [string, unknown]> = [
	['10.0.0.1:7003', {host: '10.0.0.1', port: 7003}],
	['[fd00::1]:7003', {host: 'fd00::1', port: 7003}],
	['10.0.0.1', undefined],
	['10.0.0.1:', undefined],
	[':7003', undefined],
	['10.0.0.1:70000', undefined],
	['10.0.0.1:x', undefined],
];

for (const [text, expected] of addresses) {
	test(`the seed "${text}" is ${expected === undefined ? 'rejected' : 'parsed'}`, () => {
		expect<unknown>(parseSeedAddress(text).unwrapOr(undefined)).toEqual(expected);
	});
}

function describeMembersOfDomain(failureDomain: string, count: number): Member[] {
	return Array.from({length: count}, (_, index) =>
		describeMember({nodeId: `${failureDomain}-${index}`, failureDomain}),
	);
}

test('each failure domain has one owner per seed row, regardless of its number of nodes', () => {
	const members = ['a', 'b'].flatMap(domain => describeMembersOfDomain(domain, 200));
	const rows = members
		.map(member => chooseSeedRow(member, members))
		.filter(row => row !== undefined)
		.map(({failureDomain, index: slot}) => `${failureDomain} ${slot}`);
	const expected = ['a', 'b'].flatMap(domain =>
		Array.from({length: seedRowsPerFailureDomain}, (_, slot) => `${domain} ${slot}`),
	);
	expect(rows.toSorted()).toEqual(expected);
});

test('a joined fleet of any size checks its seed rows at a bounded rate', () => {
	const rows = 7 * seedRowsPerFailureDomain;
	const shortest = chooseSeedRowDelay(true, true, () => 0);
	expect(shortest).toEqual(seedRowIntervalMilliseconds / 2);
	expect((rows / shortest) * 1000).toBeLessThan(1);
});

test('nodes without peers spread their writes and back off their reads', () => {
	expect(chooseSeedRowDelay(false, false, () => 1)).toBeLessThanOrEqual(1000);
	expect(chooseSeedRowDelay(false, true, () => 1)).toBeGreaterThan(60_000);
	const delays = [0, 1, 2, 10, 50].map(attempt =>
		chooseSeedReadDelay(attempt, false, () => 1),
	);
	expect(delays).toEqual([1000, 2000, 4000, 60_000, 60_000]);
});

test('seed rows are written, overwritten and read back, and a table outage rejects', async () => {
	await withTable(async (table, setFaults) => {
		const {readSeeds, writeSeed} = createSeedTable(table);
		expect([...(await readSeeds())]).toEqual([]);
		await writeSeed({failureDomain: 'a', index: 0, address: '10.0.0.1:7003'});
		await writeSeed({failureDomain: 'a', index: 0, address: '10.0.0.2:7003'});
		await writeSeed({failureDomain: 'a', index: 1, address: '10.0.0.3:7003'});
		expect([...(await readSeeds())]).toEqual(['10.0.0.2:7003', '10.0.0.3:7003']);
		await setFaults({outage: 'refuses'});
		await expect(readSeeds()).toBeRejectedWith('the table cannot be reached');
	});
});
