/** Transport of datagrams between members: UDP, or a replacement in tests. */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import {type Address} from './message.js';

/** An open transport. */
export type Transport = {
	/** Sends a datagram; errors are ignored, since delivery is unreliable anyway. */
	readonly send: (address: Address, bytes: Uint8Array) => void;
	readonly close: () => Promise<void>;
};

/** Opens a transport on an address and passes each received datagram to `receive`. */
export type CreateTransport = (
	address: Address,
	receive: (bytes: Uint8Array, from: Address) => void,
) => Promise<Transport>;

/**
 * Opens a UDP socket.
 *
 * @param address address to listen on
 * @param receive called with each datagram and the address of its sender
 * @returns the transport; rejects when the address is in use or does not belong to this VM
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
	// Errors of sent datagrams may be reported here later; probes detect unreachable members.
	socket.on('error', ignoreError);
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
			// The last datagrams, which announce the stop, may not have been handed to the system yet.
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

function ignoreError(): void {
	// Datagrams may be lost anyway.
}
