/** How a node learns of changes of the routes: from the table, if it is a poller, or from others. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {ok} from 'neverthrow';
import type {Member, Membership} from '../../src/membership/index.js';
import {followRoutes, type RoutesReading} from '../../src/relay/routes-follower.js';
import {routesTopic, followPeerRoutes} from '../../src/relay/peer-routes.js';
import {createRoutesHolder, type RoutesHolder} from '../../src/relay/active-routes.js';

const ignore = (): void => undefined;
const silentLog = {info: ignore, warn: ignore, error: ignore};

function createHolder(): RoutesHolder {
	return createRoutesHolder({
		decode: text =>
			ok({
				version: Number(text),
				routes: [],
				services: [],
				limits: {
					maximumHeaderBytes: 1,
					maximumBodyBytes: 1,
					headerTimeoutMilliseconds: 1,
					idleTimeoutMilliseconds: 1,
				},
			}),
		log: silentLog,
		now: () => performance.now(),
		onChange: ignore,
	});
}

async function waitUntil(isSo: () => boolean): Promise<void> {
	for (let tries = 0; tries < 200 && !isSo(); tries += 1) {
		await sleep(20);
	}
}

test('a node asks the table for changes only while it is a poller', async () => {
	const holder = createHolder();
	const duty = {isPoller: false};
	let questions = 0;
	const follower = followRoutes({
		source: {
			read: async () => ok<RoutesReading>({text: '1', position: 4}),
			async awaitChange(position) {
				questions += 1;
				await sleep(5);
				return ok<RoutesReading>({text: String(position), position: position + 1});
			},
		},
		holder,
		log: silentLog,
		isPoller: () => duty.isPoller,
		random: () => 0.5,
	});
	await sleep(400);
	expect(holder.current()?.table.version).toEqual(1);
	expect(questions).toEqual(0);
	duty.isPoller = true;
	await waitUntil(() => (holder.current()?.table.version ?? 0) >= 5);
	follower.close();
	expect(questions).toBeGreaterThan(0);
});

type PeersView = Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;

function createMember(nodeId: string, failureDomain: string): Member {
	return {
		nodeId,
		failureDomain,
		incarnation: 1,
		status: 'alive',
		host: '127.0.0.1',
		peerPort: 1,
		controlPort: 2,
		region: 'coast',
		slots: 1,
		revision: 1,
	};
}

function createPeersView(members: readonly Member[], version: number) {
	let tell: ((from: string) => void) | undefined;
	const membership: PeersView = {
		all: () => members,
		self: () => createMember('self', 'near'),
		versionOf: () => version,
		onVersion(listener) {
			tell = from => {
				listener(routesTopic, version, from);
			};
		},
	};
	return {membership, tell: (from: string) => tell?.(from)};
}

test('a node that no other gave the routes asks again without further news', async () => {
	const holder = createHolder();
	const members = ['one', 'two', 'three', 'four', 'five', 'six'].map(name =>
		createMember(name, 'far'),
	);
	const {membership, tell} = createPeersView(members, 7);
	let asked = 0;
	const taking = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async fetch() {
			asked += 1;
			return asked > 7 ? '7' : undefined;
		},
	});
	tell('one');
	await waitUntil(() => holder.current()?.table.version === 7);
	taking.close();
	expect(holder.current()?.table.version).toEqual(7);
	expect(asked).toEqual(8);
});

test('the teller of a version is asked first, then the own failure domain', async () => {
	const holder = createHolder();
	const members = [
		createMember('far', 'far'),
		createMember('near', 'near'),
		createMember('teller', 'far'),
	];
	const {membership, tell} = createPeersView(members, 3);
	const order: string[] = [];
	const taking = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async fetch({nodeId}) {
			order.push(nodeId);
			return order.length === 3 ? '3' : undefined;
		},
	});
	tell('teller');
	await waitUntil(() => holder.current() !== undefined);
	taking.close();
	expect(order).toEqual(['teller', 'near', 'far']);
});
