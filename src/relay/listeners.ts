/** Binds the listeners of a relay node: callers, readiness, announcements, peers and metrics. */
import {createServer, type Server} from 'node:http';
import {Effect} from 'effect';
import type {EventLog} from '../log/index.js';
import type {PlatformAdapter} from './adapter.js';
import type {RelayComponents} from './components.js';
import {splitAddress, type RelaySettings} from './settings.js';

/** An address could not be bound; the message names it and what to do. */
export type ListenError = {readonly kind: 'listen-failed'; readonly message: string};

/**
 * Binds all listeners.
 *
 * @param settings validated settings
 * @param adapter the platform that the node runs on
 * @param log the event log
 * @param components the components that handle the requests
 * @returns the bound listeners
 */
export function bindListeners(
	settings: RelaySettings,
	adapter: PlatformAdapter,
	log: EventLog,
	components: RelayComponents,
): Effect.Effect<Server[], ListenError> {
	const {listeners} = settings;
	const peerAddress = (port: number) => ({host: listeners.bind ?? listeners.host, port});
	const bindings: ReadonlyArray<readonly [Server, {host: string; port: number}]> = [
		[components.callers.server, splitAddress(listeners.callers)],
		[createReadinessListener(components.isReady), splitAddress(listeners.readiness)],
		[
			adapter.createAnnouncementListener(components.announcementHandler, log),
			splitAddress(listeners.announcements),
		],
		[components.peerListener, peerAddress(listeners.peer)],
		[components.metrics.listener, peerAddress(listeners.metrics)],
	];
	const binding = bindings.map(([server, {host, port}]) =>
		Effect.tryPromise({
			try: async () => bind(server, host, port),
			catch: (error): ListenError => ({
				kind: 'listen-failed',
				message: `cannot listen at ${host}:${port} (${String(error)}); set a free port of this VM`,
			}),
		}),
	);
	return Effect.all(binding);
}

async function bind(server: Server, host: string, port: number): Promise<Server> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog: 1024}, () => {
			server.removeListener('error', reject);
			resolve(server);
		});
	});
}

function createReadinessListener(isReady: () => boolean): Server {
	return createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': '0'});
		response.end();
	});
}
