/** Choice of the nodes that poll the table in each failure domain. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {isPoller} from '../../src/membership/index.js';

const pollersPerDomain = 2;

function createMembers(count: number, domains: number) {
	return Array.from({length: count}, (_, index) => ({
		nodeId: `node-${index}`,
		failureDomain: `domain-${index % domains}`,
		status: 'alive' as const,
	}));
}

for (const count of [7, 70, 700, 2300]) {
	test(`each failure domain has the configured number of pollers with ${count} nodes`, () => {
		const members = createMembers(count, 7);
		const pollers = members.filter(self => isPoller(self, members, pollersPerDomain));
		expect(pollers.length).toEqual(Math.min(count, 7 * pollersPerDomain));
	});
}

test('a failure domain keeps its number of pollers whichever members are dead', () => {
	fc.assert(
		fc.property(fc.array(fc.boolean(), {minLength: 30, maxLength: 30}), dead => {
			const members = createMembers(30, 3).map((member, index) =>
				dead[index] ? {...member, status: 'dead' as const} : member,
			);
			const living = members.filter(member => member.status === 'alive');
			for (const domain of new Set(living.map(member => member.failureDomain))) {
				const peers = living.filter(member => member.failureDomain === domain);
				const pollers = peers.filter(self => isPoller(self, members, pollersPerDomain));
				expect(pollers.length).toEqual(Math.min(peers.length, pollersPerDomain));
			}
		}),
		{seed: 11},
	);
});
