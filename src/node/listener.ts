/** HTTP listeners as scoped resources: bound on acquisition, closed with the scope. */
import type {Server} from 'node:http';
import {Effect, type Scope} from 'effect';

/** The error of a listener that cannot be bound. */
export type ListenError = {
	readonly kind: 'listen-failed';
	readonly message: string;
};

/**
 * Binds an HTTP server; closing the scope closes it and all its connections.
 *
 * @param server the server
 * @param host IP address
 * @param port TCP port; 0 lets the system pick one
 * @returns the bound port
 */
export function listen(
	server: Server,
	host: string,
	port: number,
): Effect.Effect<number, ListenError, Scope.Scope> {
	return Effect.acquireRelease(bind(server, host, port), () => close(server));
}

function bind(
	server: Server,
	host: string,
	port: number,
): Effect.Effect<number, ListenError> {
	return Effect.async(resume => {
		const fail = (error: Error): void => {
			const message = `cannot listen on ${host}:${port} (${error.message}): free the port or change the settings`;
			resume(Effect.fail({kind: 'listen-failed', message} as const));
		};

		server.once('error', fail);
		server.listen(port, host, () => {
			server.removeListener('error', fail);
			resume(Effect.succeed(readPort(server)));
		});
	});
}

function readPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' ? (address?.port ?? 0) : 0;
}

function close(server: Server): Effect.Effect<void> {
	return Effect.sync(() => {
		server.close();
		server.closeAllConnections();
	});
}
