/**
 * Checks whether a server still accepts connections after it closed one unexpectedly.
 */
import {createConnection} from 'node:net';

const probeTimeoutMilliseconds = 200;

/**
 * Tries to open one connection.
 *
 * @param host IP address
 * @param port TCP port
 * @returns whether the server accepted it; a timeout counts as listening
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
