/** The way datagrams travel between members: UDP, or whatever a test puts in its place. */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {type Address} from './message.js';

/** An open way to send and receive datagrams. */
export type Transport = {
	/** Sends a datagram; one that cannot be sent is lost, as on any path. */
	readonly send: (address: Address, bytes: Uint8Array) => void;
	readonly close: () => Promise<void>;
};

/** Opens a transport at an address, which hands each datagram to `receive`. */
export type CreateTransport = (
	address: Address,
	receive: (bytes: Uint8Array, from: Address) => void,
) => Promise<Transport>;

/**
 * Opens a UDP socket.
 *
 * @param address where to listen
 * @param receive takes each datagram and the address it came from
 * @returns the transport; rejects when the address is in use or not of this VM
 */
export async function createUdpTransport(
	address: Address,
	receive: (bytes: Uint8Array, from: Address) => void,
): Promise<Transport> {
	const socket = createSocket(isIPv6(address.host) ? 'udp6' : 'udp4');
	socket.on('message', (bytes, remote) => {
		receive(bytes, {host: remote.address, port: remote.port});
	});
	await bind(socket, address);
	// A refused datagram is reported here later; the probes find out by themselves.
	socket.on('error', ignore);
	const pending = new Set<Promise<void>>();
	return {
		send(target, bytes) {
			const sent = sendDatagram(socket, target, bytes);
			pending.add(sent);
			void sent.then(() => {
				pending.delete(sent);
			});
		},
		async close() {
			// The last words of a node that stops are still on their way to the system.
			await Promise.all(pending);
			await new Promise<void>(resolve => {
				socket.close(resolve);
			});
		},
	};
}

async function sendDatagram(
	socket: Socket,
	target: Address,
	bytes: Uint8Array,
): Promise<void> {
	await new Promise<void>(resolve => {
		socket.send(Buffer.from(bytes), target.port, target.host, () => {
			resolve();
		});
	});
}

async function bind(socket: Socket, address: Address): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(address.port, address.host, () => {
			socket.off('error', reject);
			resolve();
		});
	});
}

function ignore(): void {
	// Datagrams may be lost anywhere on the way.
}
