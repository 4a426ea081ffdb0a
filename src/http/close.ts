/** Closes a listener while as few connections as possible are waiting to be accepted. */
import type {Server} from 'node:http';

/**
 * Stops accepting connections. Closing a listener resets connections that are established but not
 * yet accepted. Right after the event loop has accepted all pending ones, only a connection made
 * within the last microseconds can be affected.
 *
 * @param server the listener
 * @returns resolves once the listener accepts no more connections
 */
export async function closeToNewConnections(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(() => {
			server.close();
			resolve();
		});
	});
}
