/** Membership over real UDP sockets on loopback. */
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, Exit, Scope} from 'effect';
import {expect} from 'earl';
import {
	createMembership,
	memberStatuses,
	type Membership,
	type MembershipOptions,
} from '../../src/membership/index.js';

const basePort = 27_400;
const waitMilliseconds = 20_000;

function describeNode(index: number, seeds: readonly number[]): MembershipOptions {
	return {
		self: {
			nodeId: `node-${index}`,
			incarnation: 1000 + index,
			host: '127.0.0.1',
			peerPort: 1,
			controlPort: basePort + index,
			region: 'west',
			failureDomain: 'west-1',
			slots: 0,
		},
		seeds: seeds.map(seed => `127.0.0.1:${basePort + seed}`),
		now: () => performance.now(),
		random: Math.random,
	};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	const deadline = performance.now() + waitMilliseconds;
	while (!condition() && performance.now() < deadline) {
		await sleep(20);
	}
}

test('nodes join through a seed, and updates, versions and announcements reach all', async () => {
	const scope = await Effect.runPromise(Scope.make());
	const start = async (options: MembershipOptions): Promise<Membership> =>
		Effect.runPromise(createMembership(options).pipe(Scope.extend(scope)));
	const first = await start(describeNode(0, []));
	const second = await start(describeNode(1, [0]));
	const third = await start(describeNode(2, [0]));
	const versions: string[] = [];
	const announcements: string[] = [];
	third.onVersion((topic, version) => {
		versions.push(`${topic} ${version}`);
	});
	third.onAnnouncement((id, payload) => {
		announcements.push(`${id} ${payload.join(',')}`);
	});
	second.updateSelf({service: 'booking', slots: 10});
	second.publishVersion('darkrooms', 7);
	second.announce('crash-1', new Uint8Array([1, 2]), 10_000);
	await waitUntil(
		() => third.membersOf('booking').length > 0 && announcements.length > 0,
	);
	await waitUntil(() => first.all().length === 3 && third.all().length === 3);
	expect(third.membersOf('booking').map(({nodeId, slots}) => ({nodeId, slots}))).toEqual([
		{nodeId: 'node-1', slots: 10},
	]);
	expect(third.membersOf('booking')).toExactlyEqual(third.membersOf('booking'));
	expect(versions).toEqual(['darkrooms 7']);
	expect(announcements).toEqual(['crash-1 1,2']);
	await second.leave();
	await waitUntil(() => third.find('node-1')?.status === memberStatuses.leaving);
	expect(third.find('node-1')?.status).toEqual(memberStatuses.leaving);
	await Effect.runPromise(Scope.close(scope, Exit.void));
});

test('a control port in use gives a typed error that says what to do', async () => {
	const program = Effect.gen(function* () {
		yield* createMembership(describeNode(5, []));
		return yield* Effect.flip(createMembership(describeNode(5, [])));
	});
	const error = await Effect.runPromise(Effect.scoped(program));
	expect(error.kind).toEqual('control-port-unavailable');
	expect(error.message).toInclude('set a free control port');
});
