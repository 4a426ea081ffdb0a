/** Transport of datagrams between members: UDP, or a replacement in tests. */
import {createSocket, type Socket, type SocketOptions} from 'node:dgram';
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
	const socket = createSocket({
		type: isIPv6(address.host) ? 'udp6' : 'udp4',
		lookup: useAddress,
	});
	socket.on('message', (bytes, remote) => {
		receive(bytes, {host: remote.address, port: remote.port});
	});
	await bind(socket, address);
	// Errors of sent datagrams may be reported here later; probes detect unreachable members.
	socket.on('error', ignoreError);
	let unsent = 0;
	let onAllSent: (() => void) | undefined;
	const countSent = (): void => {
		unsent -= 1;
		if (unsent === 0) {
			onAllSent?.();
		}
	};

	return {
		send(target, bytes) {
			unsent += 1;
			socket.send(bytes, target.port, target.host, countSent);
		},
		async close() {
			// The last datagrams, which announce the stop, may not have been handed to the system yet.
			if (unsent > 0) {
				await new Promise<void>(resolve => {
					onAllSent = resolve;
				});
			}

			await new Promise<void>(resolve => {
				socket.close(resolve);
			});
		},
	};
}

/** Members have IP addresses, which need no name lookup. */
const useAddress: SocketOptions['lookup'] = (host, _options, done) => {
	done(null, host, isIPv6(host) ? 6 : 4);
};

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
