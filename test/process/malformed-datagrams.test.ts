/**
 * Guards against a node that ends by one odd datagram, and with it every call in hand: sockets throw when they are given
 * port 0, and encoders at numbers that they cannot hold.
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {Packet} from '../../src/generated/membership.js';
import {
	callAll,
	countServed,
	countSound,
	findHarmful,
	host,
	startWithOneServer,
	type MessageCase,
} from '../support/malformed-messages.js';

/** Fields as in the definition of the message; those that are absent have their defaults. */
type PacketFields = Readonly<Record<string, unknown>>;

const uint32Limit = 0xff_ff_ff_ff;
const numbers = [0, uint32Limit, Number.MAX_SAFE_INTEGER];
const hosts = ['', 'a b', 'a\nb', '\u010D', '256.1.1.1', '::1'];
/** Time in which a node probes a new member and asks it for its load. */
const probeMilliseconds = 700;
const names = ['coast', 'coast-0', 'bookings'];
let count = 0;

function createCase(name: string, fields: PacketFields): MessageCase {
	return {
		name,
		async play(mesh) {
			const socket = createSocket('udp4');
			const packet = Packet.fromPartial({from: 'other', names, ...fields} as Packet);
			const bytes = Packet.encode(packet).finish();
			await new Promise<void>(resolve => {
				socket.send(bytes, mesh.nodes[0]!.gossipPort, host, () => {
					resolve();
				});
			});
			socket.close();
			await sleep(fields.details === undefined ? 0 : probeMilliseconds);
			await callAll(mesh);
		},
	};
}

function createMemberCase(name: string, changes: Record<string, unknown>): MessageCase {
	count += 1;
	const detail = {
		nodeId: `other-${count}`,
		incarnation: 1,
		host,
		peerPort: 9,
		controlPort: 9,
		region: 1,
		failureDomain: 2,
		service: 3,
		slots: 4,
		...changes,
	};
	return createCase(name, {details: [detail]});
}

function createPingCase(address: {host: string; controlPort: number}): MessageCase {
	const value = {sequence: 1, target: 'other', ...address};
	const name = `an indirect ping to ${JSON.stringify(address)}`;
	return createCase(name, {body: {$case: 'indirectPing', value}});
}

const cases = [
	createMemberCase('a member with port 0', {peerPort: 0}),
	createMemberCase('a member with gossip port 0', {controlPort: 0}),
	...hosts.flatMap(name => [
		createMemberCase(`a member at ${JSON.stringify(name)}`, {host: name}),
		createPingCase({host: name, controlPort: 9}),
	]),
	createPingCase({host, controlPort: 0}),
	createPingCase({host, controlPort: 70_000}),
	...numbers.flatMap(number => [
		createMemberCase(`an incarnation of ${number}`, {incarnation: number}),
		createMemberCase(`a revision of ${number}`, {
			revision: number,
			detailRevision: number,
		}),
		createCase(`a version of ${number}`, {versions: [{topic: 'other', version: number}]}),
		createCase(`an evacuation in order ${number}`, {
			versions: [{topic: 'evacuation:coast-9', version: number}],
		}),
		createCase(`a proof at ${number}`, {
			proofs: [{topic: 'routes', version: 1, era: 1, provenAt: number}],
		}),
		createCase(`an announcement ${number}`, {
			announcements: [
				{
					id: `leaving:${number}:other`,
					payload: Buffer.from('other'),
					remainingMilliseconds: Math.min(number, uint32Limit),
				},
			],
		}),
	]),
];

test('no datagram ends a node', async context => {
	const mesh = await startWithOneServer(context);
	expect(await findHarmful(mesh, cases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
