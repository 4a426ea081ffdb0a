/** Closes a listener at the moment at which the fewest connections can wait to be accepted. */
import type {Server} from 'node:http';

/**
 * Takes no new connections from now on. A connection that has been made but not accepted when its
 * listener closes is reset; right after the event loop has accepted what there was, none waits but
 * one made in the last microseconds.
 *
 * @param server the listener
 * @returns resolves once the listener is closed to new connections
 */
export async function closeToNewConnections(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(() => {
			server.close();
			resolve();
		});
	});
}
