/**
 * Finds out whether a server still takes connections, after it broke one off.
 */
import {createConnection} from 'node:net';

const probeTimeoutMilliseconds = 200;

/**
 * Tries one connection.
 *
 * @param host IP address
 * @param port TCP port
 * @returns whether the server took it; a server that is only slow to take it counts as listening
 */
export async function isListening(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = createConnection({host, port});
		const finish = (listening: boolean): void => {
			socket.destroy();
			resolve(listening);
		};

		socket.setTimeout(probeTimeoutMilliseconds, () => {
			finish(true);
		});
		socket.once('connect', () => {
			finish(true);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
}
