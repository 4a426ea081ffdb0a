/**
 * Control messages between nodes, over gRPC: the server that carries the services of a node's
 * tasks, and the channels to other nodes. A channel is opened at the first message, falls idle
 * by itself, and is dropped when too many are open.
 */
import {
	credentials,
	Metadata,
	Server,
	ServerCredentials,
	type ChannelOptions,
	type Client,
	type ClientOptions,
	type ChannelCredentials,
	type CallOptions,
	type ServiceDefinition,
	type ServiceError,
	type sendUnaryData,
	type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {Duration, Effect, type Scope} from 'effect';
import type {ListenError} from './listener.js';

/** A service that one of the node's tasks offers to other nodes. */
export type ControlService = {
	readonly definition: ServiceDefinition;
	readonly implementation: UntypedServiceImplementation;
};

/** Makes a client of one service, as the generated constructors do. */
export type ControlClientConstructor<ServiceClient extends Client> = new (
	address: string,
	credentials: ChannelCredentials,
	options?: Partial<ClientOptions>,
) => ServiceClient;

/** Clients of one service at many nodes. */
export type ControlClients<ServiceClient extends Client> = {
	readonly getClient: (host: string, controlPort: number) => ServiceClient;
	readonly close: () => void;
};

const messageLimitBytes = 4_194_304;
const openClientLimit = 64;
const idleChannelMilliseconds = 30_000;
const shortestReconnectMilliseconds = 50;
const longestReconnectMilliseconds = 200;
const closeMilliseconds = 500;

/* eslint-disable @typescript-eslint/naming-convention -- The library names its options so. */
const channelOptions: ChannelOptions = {
	'grpc.max_receive_message_length': messageLimitBytes,
	'grpc.client_idle_timeout_ms': idleChannelMilliseconds,
	'grpc.initial_reconnect_backoff_ms': shortestReconnectMilliseconds,
	'grpc.max_reconnect_backoff_ms': longestReconnectMilliseconds,
	'grpc.enable_channelz': 0,
};
/* eslint-enable @typescript-eslint/naming-convention */

/**
 * Binds the control listener for as long as the scope lives.
 *
 * @param services what the node's tasks offer
 * @param host IP address
 * @param port TCP port; 0 lets the system pick one
 * @returns the port that was bound
 */
export function listenForControl(
	services: readonly ControlService[],
	host: string,
	port: number,
): Effect.Effect<number, ListenError, Scope.Scope> {
	const open = Effect.async<{server: Server; bound: number}, ListenError>(resume => {
		const server = new Server(channelOptions);
		for (const service of services) {
			server.addService(service.definition, service.implementation);
		}

		const address = formatAddress(host, port);
		server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
			if (error) {
				const message = `cannot listen on ${address} (${error.message}): free the port or change the settings`;
				resume(Effect.fail({kind: 'listen-failed', message}));
				return;
			}

			resume(Effect.succeed({server, bound}));
		});
	});
	return Effect.acquireRelease(open, ({server}) => closeServer(server)).pipe(
		Effect.map(({bound}) => bound),
	);
}

/**
 * Tells the other nodes to let go of their connections, and ends what is left after a moment. A
 * connection that is ended without a word stays half open until the other node falls idle, and
 * keeps this process from ending.
 */
function closeServer(server: Server): Effect.Effect<void> {
	const close = Effect.async<void>(resume => {
		server.tryShutdown(() => {
			resume(Effect.void);
		});
	});
	return close.pipe(
		Effect.timeoutOption(Duration.millis(closeMilliseconds)),
		Effect.andThen(() => {
			server.forceShutdown();
		}),
	);
}

/**
 * Creates the clients of one service.
 *
 * @param ClientClass constructor of the service's client
 * @returns clients by address; the least recently used is closed when too many are open
 */
export function createControlClients<ServiceClient extends Client>(
	ClientClass: ControlClientConstructor<ServiceClient>,
): ControlClients<ServiceClient> {
	const clients = new Map<string, ServiceClient>();

	function closeLeastRecent(): void {
		const [oldest] = clients;
		if (oldest && clients.size > openClientLimit) {
			clients.delete(oldest[0]);
			oldest[1].close();
		}
	}

	return {
		getClient(host, controlPort) {
			const address = formatAddress(host, controlPort);
			const client =
				clients.get(address) ??
				new ClientClass(address, credentials.createInsecure(), channelOptions);
			clients.delete(address);
			clients.set(address, client);
			closeLeastRecent();
			return client;
		},
		close() {
			for (const client of clients.values()) {
				client.close();
			}

			clients.clear();
		},
	};
}

/** Sends one request by a generated client's method. */
export type SendRequest<Reply> = (
	metadata: Metadata,
	options: Partial<CallOptions>,
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- The library gives null for no error.
	callback: (error: ServiceError | null, reply: Reply) => void,
) => void;

/**
 * Asks another node once.
 *
 * @param send sends the request by a generated client's method
 * @param timeoutMilliseconds how long to wait for the answer
 * @returns the reply, or `undefined` when none came in time
 */
export async function sendControlRequest<Reply>(
	send: SendRequest<Reply>,
	timeoutMilliseconds: number,
): Promise<Reply | undefined> {
	return new Promise(resolve => {
		const deadline = Date.now() + timeoutMilliseconds;
		send(new Metadata({waitForReady: true}), {deadline}, (error, reply) => {
			resolve(error ? undefined : reply);
		});
	});
}

/**
 * Answers a request of another node.
 *
 * @param callback as the library gives it
 * @param reply the answer
 */
export function sendControlReply<Reply>(
	callback: sendUnaryData<Reply>,
	reply: Reply,
): void {
	callback(null, reply);
}

function formatAddress(host: string, port: number): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
