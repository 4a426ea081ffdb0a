/**
 * A test server to run behind a node, with slots, simulated service times, a cold start, faults
 * that can be switched on, a journal of the requests that it ran, and announcements to its node.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {createRandom} from '../../src/load/random.js';
import {createAnnouncer, type Announcement, type Announcer} from './announcer.js';
import {createFaults, faultsSchema, type ServerOptions} from './behaviour.js';
import {createJournal} from './journal.js';
import {runRequest, type RunContext} from './run.js';
import {createSlots} from './slots.js';

const controlPrefix = '/stand-in/';

/** A running stand-in server. */
export type StandInServer = {
	readonly port: number;
	readonly context: RunContext;
	/** Drains, completes the requests in flight, withdraws the announcement and stops. */
	readonly stop: () => Promise<void>;
};

type ServerStatus = {
	health: Announcement['health'];
	announcer: Announcer | undefined;
};

/**
 * Starts a stand-in server.
 *
 * @param options options of the server
 * @returns the server, listening
 */
export async function startStandInServer(options: ServerOptions): Promise<StandInServer> {
	const context: RunContext = {
		options,
		faults: createFaults(),
		journal: createJournal(options.journalFile),
		slots: createSlots(options.slots, options.queueLength),
		startedAt: Date.now(),
		random: createRandom(options.seed),
	};
	const serverStatus: ServerStatus = {health: 'serving', announcer: undefined};
	const server = createServer({requestTimeout: 0}, (incoming, response) => {
		void handleRequest(context, serverStatus, incoming, response);
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	const port = readPort(server);
	if (options.local !== undefined) {
		serverStatus.announcer = createAnnouncer(
			options.local,
			createAnnouncementFactory(context, serverStatus, port),
		);
	}

	return {
		port,
		context,
		stop: async () => stop(server, serverStatus),
	};
}

function readPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Returns a function that creates the announcement; faults may falsify its load. */
function createAnnouncementFactory(
	context: RunContext,
	serverStatus: ServerStatus,
	port: number,
): () => Announcement | undefined {
	const {options, faults, slots} = context;
	let lastReported = 0;
	return () => {
		if (!faults.announces) {
			return undefined;
		}

		const inFlight = slots.inUse() + slots.waiting();
		const reported = faults.reportedInFlight < 0 ? inFlight : faults.reportedInFlight;
		lastReported = faults.frozenReport ? lastReported : reported;
		return {
			name: options.name,
			service: options.service,
			host: options.host,
			port,
			slots: options.slots,
			health: serverStatus.health,
			load: {inFlight: lastReported},
		};
	};
}

async function handleRequest(
	context: RunContext,
	serverStatus: ServerStatus,
	incoming: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	const path = incoming.url ?? '/';
	if (!path.startsWith(controlPrefix)) {
		await runRequest(context, incoming, response);
		return;
	}

	const result = await handleControlRequest(context, serverStatus, incoming);
	const text = JSON.stringify(result.body);
	response.writeHead(result.status, {'content-type': 'application/json'});
	response.end(text);
}

type ControlResult = {readonly status: number; readonly body: unknown};

async function handleControlRequest(
	context: RunContext,
	serverStatus: ServerStatus,
	incoming: IncomingMessage,
): Promise<ControlResult> {
	const {faults, journal, slots} = context;
	const command = `${incoming.method ?? ''} ${(incoming.url ?? '').slice(controlPrefix.length)}`;
	switch (command) {
		case 'GET journal': {
			return {status: 200, body: journal.entries};
		}

		case 'DELETE journal': {
			journal.clear();
			return {status: 200, body: []};
		}

		case 'GET state': {
			return {
				status: 200,
				body: {
					inUse: slots.inUse(),
					waiting: slots.waiting(),
					ran: journal.entries.length,
				},
			};
		}

		case 'GET faults': {
			return {status: 200, body: faults};
		}

		case 'PUT faults': {
			return changeFaults(context, serverStatus, incoming);
		}

		case 'POST drain': {
			serverStatus.health = 'draining';
			await serverStatus.announcer?.announce();
			return {status: 200, body: {health: serverStatus.health}};
		}

		default: {
			return {
				status: 404,
				body: {
					error:
						'unknown control request: use journal, state, faults or drain below /stand-in/',
				},
			};
		}
	}
}

async function changeFaults(
	context: RunContext,
	serverStatus: ServerStatus,
	incoming: IncomingMessage,
): Promise<ControlResult> {
	const parsed = faultsSchema.safeParse(await readJson(incoming));
	if (!parsed.success) {
		return {status: 400, body: {error: parsed.error.message}};
	}

	Object.assign(context.faults, parsed.data);
	await serverStatus.announcer?.announce();
	return {status: 200, body: context.faults};
}

async function readJson(incoming: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of incoming as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		return undefined;
	}
}

async function stop(server: Server, serverStatus: ServerStatus): Promise<void> {
	serverStatus.health = 'draining';
	await serverStatus.announcer?.announce();
	server.close();
	server.closeIdleConnections();
	await once(server, 'close');
	await serverStatus.announcer?.withdraw();
}
