/**
 * Encodes and decodes packets. The protobuf library checks the encoding and this module the
 * values, so that nothing malformed reaches the state.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {Packet as WirePacket} from '../generated/membership.js';
import {type Body, type Packet, type Rumour} from './message.js';
import {addRumour, readHost, readName, readPort, readRumours} from './rumour-codec.js';

/** Maximum size of a datagram, to avoid IP fragmentation on paths between regions. */
export const maximumDatagramBytes = 1200;

/** IP and UDP headers, charged to the byte budget with each datagram. */
export const datagramOverheadBytes = 28;

const fieldOverheadBytes = 4;
const nameOverheadBytes = 2;

/** Encoded size of a rumour: its own bytes, and the names that it may share with other rumours. */
export type RumourSize = {
	readonly bytes: number;
	readonly names: readonly string[];
};

/** Remaining space of a packet that is being filled. */
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
 * @param packet the packet
 * @returns the datagram
 */
export function encodePacket(packet: Packet): Uint8Array {
	const names = new Map<string, number>();
	const wire: WirePacket = {
		names: [],
		details: [],
		standings: [],
		versions: [],
		announcements: [],
		proofs: [],
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
 * @param bytes the datagram
 * @returns the packet, or an error when the datagram is malformed
 */
export function decodePacket(bytes: Uint8Array): Result<Packet, CodecError> {
	try {
		const wire = WirePacket.decode(bytes);
		const rumours = [...readRumours(wire)];
		return ok({from: readName(wire.from), body: fromWireBody(wire.body), rumours});
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		const message = `datagram is not a membership packet (${reason}); check that only nodes send to the control port`;
		return err({kind: 'malformed-packet', message});
	}
}

/**
 * Computes the encoded size of a rumour.
 *
 * @param rumour the rumour
 * @returns an upper bound of the space that it takes in a packet
 */
export function measureRumour(rumour: Rumour): RumourSize {
	const wire = WirePacket.fromPartial({});
	const names = new Map<string, number>();
	addRumour(wire, names, rumour);
	const bytes = WirePacket.encode(wire).finish().length + fieldOverheadBytes;
	return {bytes, names: [...names.keys()]};
}

/**
 * Reserves space for a rumour if it fits. Updates the space in place.
 *
 * @param space remaining space of the packet
 * @param size size of the rumour
 * @returns whether it fits
 */
export function reserveSpace(space: PacketSpace, size: RumourSize): boolean {
	let cost = size.bytes;
	for (const name of size.names) {
		cost += space.names.has(name) ? 0 : Buffer.byteLength(name) + nameOverheadBytes;
	}

	if (cost > space.bytes) {
		return false;
	}

	space.bytes -= cost;
	for (const name of size.names) {
		space.names.add(name);
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
			const {host, controlPort} = body.value;
			return {
				kind: 'indirectPing',
				...body.value,
				host: readHost(host),
				controlPort: readPort(controlPort),
			};
		}

		case 'syncRequest': {
			return {kind: 'syncRequest', ...body.value};
		}

		case 'syncPage': {
			return {kind: 'syncPage'};
		}
	}
}
