/** The listener of a node's control messages: gRPC services of several aggregates on one port. */
import {
	Server,
	type ServerCredentials,
	type ServiceDefinition,
	type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {Effect, type Scope} from 'effect';

// The library names its options so.
// eslint-disable-next-line @typescript-eslint/naming-convention
const serverOptions = {'grpc.max_concurrent_streams': 256};

/** A service with its handlers. */
export type ControlService = {
	readonly definition: ServiceDefinition;
	readonly handlers: UntypedServiceImplementation;
};

export type ControlListenError = {
	readonly kind: 'control-port-unavailable';
	readonly message: string;
};

export type ControlListenerOptions = {
	readonly host: string;
	/** 0 takes any free port. */
	readonly port: number;
	readonly credentials: ServerCredentials;
	readonly services: readonly ControlService[];
};

/**
 * Listens for control messages for as long as the scope lives.
 *
 * @param options where to listen, and the services
 * @returns the port that is bound
 */
export function listenForControl(
	options: ControlListenerOptions,
): Effect.Effect<number, ControlListenError, Scope.Scope> {
	const acquire = Effect.async<{server: Server; port: number}, ControlListenError>(
		resume => {
			const server = new Server(serverOptions);
			for (const {definition, handlers} of options.services) {
				server.addService(definition, handlers);
			}

			const host = options.host.includes(':') ? `[${options.host}]` : options.host;
			server.bindAsync(`${host}:${options.port}`, options.credentials, (error, port) => {
				resume(
					error === null
						? Effect.succeed({server, port})
						: Effect.fail(describe(options, error)),
				);
			});
		},
	);
	return Effect.acquireRelease(acquire, ({server}) =>
		Effect.sync(() => {
			server.forceShutdown();
		}),
	).pipe(Effect.map(({port}) => port));
}

function describe(options: ControlListenerOptions, error: Error): ControlListenError {
	const message = `cannot listen for control messages at ${options.host}:${options.port} (${error.message}); choose a free port in the settings`;
	return {kind: 'control-port-unavailable', message};
}
