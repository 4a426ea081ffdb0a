/** What a member without news costs: how often it wakes and what it sends. */
import {test} from 'node:test';
import {expect} from 'earl';
import {relayMembershipParameters} from '../../src/relay/membership-parameters.js';
import {createMesh, startMembers} from './simulated-mesh.js';

const parameters = relayMembershipParameters;
const second = 1000;
const settleSeconds = 60;
const quietSeconds = 60;
for (const count of [24, 100]) {
	test(`each of ${count} members without news wakes at most six times and sends at most three datagrams a second`, () => {
		const mesh = createMesh({seed: 7, parameters});
		const nodes = startMembers(mesh, count);
		mesh.run(settleSeconds * second);
		const before = nodes.map(({ticks, state}) => ({ticks, ...state.counters}));
		mesh.run(quietSeconds * second);
		for (const [index, {ticks, state}] of nodes.entries()) {
			const earlier = before[index]!;
			expect(ticks - earlier.ticks).toBeLessThanOrEqual(6 * quietSeconds);
			const sent = state.counters.packetsSent - earlier.packetsSent;
			expect(sent).toBeLessThanOrEqual(3 * quietSeconds);
		}
	});
}
