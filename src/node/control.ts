/**
 * Control messages between nodes over gRPC: the server for the services of a node's components, and
 * the clients of other nodes. A channel is opened by the first request, becomes idle when unused, and
 * is closed when too many are open.
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

/** A gRPC service that a component of the node provides to other nodes. */
export type ControlService = {
	readonly definition: ServiceDefinition;
	readonly implementation: UntypedServiceImplementation;
};

/** Constructor of a generated client. */
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

const maximumMessageBytes = 4_194_304;
const maximumOpenClients = 64;
const channelIdleTimeoutMilliseconds = 30_000;
const minimumReconnectBackoffMilliseconds = 50;
const maximumReconnectBackoffMilliseconds = 200;
const shutdownTimeoutMilliseconds = 500;

/* eslint-disable @typescript-eslint/naming-convention -- The library names its options so. */
const channelOptions: ChannelOptions = {
	'grpc.max_receive_message_length': maximumMessageBytes,
	'grpc.client_idle_timeout_ms': channelIdleTimeoutMilliseconds,
	'grpc.initial_reconnect_backoff_ms': minimumReconnectBackoffMilliseconds,
	'grpc.max_reconnect_backoff_ms': maximumReconnectBackoffMilliseconds,
	'grpc.enable_channelz': 0,
};
/* eslint-enable @typescript-eslint/naming-convention */

/**
 * Binds the control listener; closing the scope closes it.
 *
 * @param services the services of the node's components
 * @param host IP address
 * @param port TCP port; 0 lets the system pick one
 * @returns the bound port
 */
export function listenForControl(
	services: readonly ControlService[],
	host: string,
	port: number,
): Effect.Effect<number, ListenError, Scope.Scope> {
	const open = Effect.async<{server: Server; boundPort: number}, ListenError>(resume => {
		const server = new Server(channelOptions);
		for (const service of services) {
			server.addService(service.definition, service.implementation);
		}

		const address = formatAddress(host, port);
		server.bindAsync(address, ServerCredentials.createInsecure(), (error, boundPort) => {
			if (error) {
				const message = `cannot listen on ${address} (${error.message}): free the port or change the settings`;
				resume(Effect.fail({kind: 'listen-failed', message}));
				return;
			}

			resume(Effect.succeed({server, boundPort}));
		});
	});
	return Effect.acquireRelease(open, ({server}) => closeServer(server)).pipe(
		Effect.map(({boundPort}) => boundPort),
	);
}

/**
 * Shuts down gracefully (GOAWAY), and by force after a timeout. A connection closed without notice
 * stays half open until the other node's channel becomes idle, and keeps this process from exiting.
 */
function closeServer(server: Server): Effect.Effect<void> {
	const close = Effect.async<void>(resume => {
		server.tryShutdown(() => {
			resume(Effect.void);
		});
	});
	return close.pipe(
		Effect.timeoutOption(Duration.millis(shutdownTimeoutMilliseconds)),
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

	function closeLeastRecentlyUsed(): void {
		const [oldest] = clients;
		if (oldest && clients.size > maximumOpenClients) {
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
			closeLeastRecentlyUsed();
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

/** Calls a unary method of a generated client. */
export type CallMethod<Reply> = (
	metadata: Metadata,
	options: Partial<CallOptions>,
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- The library gives null for no error.
	callback: (error: ServiceError | null, reply: Reply) => void,
) => void;

/**
 * Sends one request to another node.
 *
 * @param callMethod calls the method of a generated client
 * @param timeoutMilliseconds deadline of the request
 * @returns the reply, or `undefined` on an error or timeout
 */
export async function sendControlRequest<Reply>(
	callMethod: CallMethod<Reply>,
	timeoutMilliseconds: number,
): Promise<Reply | undefined> {
	return new Promise(resolve => {
		const deadline = Date.now() + timeoutMilliseconds;
		callMethod(new Metadata({waitForReady: true}), {deadline}, (error, reply) => {
			resolve(error ? undefined : reply);
		});
	});
}

/**
 * Replies to a request of another node.
 *
 * @param callback callback of the gRPC library
 * @param reply the reply
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
