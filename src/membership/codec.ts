/**
 * Packets to and from bytes. The library checks the encoding; this module checks the meaning,
 * so that nothing malformed reaches the state.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Packet as WirePacket} from '../generated/membership.js';
import {type Body, type Packet, type Rumour} from './message.js';
import {addRumour, readName, readRumours} from './rumour-codec.js';

/** Largest datagram: fits one frame of a path between regions. */
export const maximumDatagramBytes = 1200;

/** Headers of IP and UDP, paid with each datagram. */
export const datagramOverheadBytes = 28;

const fieldOverheadBytes = 4;
const nameOverheadBytes = 2;

/** Room that a rumour takes: its own bytes, and names that it shares with other rumours. */
export type RumourSize = {
	readonly bytes: number;
	readonly names: readonly string[];
};

/** What is left of a packet that is being filled. */
export type PacketSpace = {
	bytes: number;
	readonly names: Set<string>;
};

/** A datagram that is not a packet of this protocol. */
export type CodecError = {
	readonly kind: 'malformed-packet';
	readonly message: string;
};

/**
 * Encodes a packet.
 *
 * @param packet what to send
 * @returns its bytes
 */
export function encodePacket(packet: Packet): Uint8Array {
	const names = new Map<string, number>();
	const wire: WirePacket = {
		names: [],
		details: [],
		standings: [],
		versions: [],
		announcements: [],
		from: packet.from,
		body: toWireBody(packet.body),
	};
	for (const rumour of packet.rumours) {
		addRumour(wire, names, rumour);
	}

	wire.names.push(...names.keys());
	return WirePacket.encode(wire).finish();
}

/**
 * Decodes a datagram.
 *
 * @param bytes what arrived
 * @returns the packet, or why it is none
 */
export function decodePacket(bytes: Uint8Array): Result<Packet, CodecError> {
	try {
		const wire = WirePacket.decode(bytes);
		const rumours = [...readRumours(wire)];
		return ok({from: readName(wire.from), body: fromWireBody(wire.body), rumours});
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		const message = `datagram is no membership packet (${reason}); check that only nodes send to the control port`;
		return err({kind: 'malformed-packet', message});
	}
}

/**
 * Measures a rumour.
 *
 * @param rumour the news
 * @returns the room that it takes in a packet at most
 */
export function measureRumour(rumour: Rumour): RumourSize {
	const wire = WirePacket.fromPartial({});
	const names = new Map<string, number>();
	addRumour(wire, names, rumour);
	const bytes = WirePacket.encode(wire).finish().length + fieldOverheadBytes;
	return {bytes, names: [...names.keys()]};
}

/**
 * Fills a packet: takes a rumour when it fits. Updates the room in place.
 *
 * @param room what is left in the packet
 * @param size size of the rumour
 * @returns whether it fits
 */
export function reserveSpace(room: PacketSpace, size: RumourSize): boolean {
	let cost = size.bytes;
	for (const name of size.names) {
		cost += room.names.has(name) ? 0 : Buffer.byteLength(name) + nameOverheadBytes;
	}

	if (cost > room.bytes) {
		return false;
	}

	room.bytes -= cost;
	for (const name of size.names) {
		room.names.add(name);
	}

	return true;
}

function toWireBody(body: Body): WirePacket['body'] {
	switch (body.kind) {
		case 'gossip': {
			return undefined;
		}

		case 'syncPage': {
			return {$case: 'syncPage', value: {}};
		}

		case 'ping': {
			return {$case: 'ping', value: body};
		}

		case 'acknowledgement': {
			return {$case: 'acknowledgement', value: body};
		}

		case 'indirectPing': {
			return {$case: 'indirectPing', value: body};
		}

		case 'syncRequest': {
			const value = {
				...body,
				digests: [...body.digests],
				services: [...body.services],
			};
			return {$case: 'syncRequest', value};
		}
	}
}

function fromWireBody(body: WirePacket['body']): Body {
	if (body === undefined) {
		return {kind: 'gossip'};
	}

	switch (body.$case) {
		case 'ping': {
			return {kind: 'ping', ...body.value};
		}

		case 'acknowledgement': {
			return {kind: 'acknowledgement', ...body.value};
		}

		case 'indirectPing': {
			return {kind: 'indirectPing', ...body.value};
		}

		case 'syncRequest': {
			return {kind: 'syncRequest', ...body.value};
		}

		case 'syncPage': {
			return {kind: 'syncPage'};
		}
	}
}
