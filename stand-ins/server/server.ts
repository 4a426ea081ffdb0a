/**
 * A small server of the kind that the nodes stand beside: slots, service times, cold start,
 * faults at will, a journal of what it ran, and an announcement to its node.
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
	/** Drains, finishes what is in flight, withdraws the announcement and stops. */
	readonly stop: () => Promise<void>;
};

type Lifetime = {
	health: Announcement['health'];
	announcer: Announcer | undefined;
};

/**
 * Starts a stand-in server.
 *
 * @param options its fixed properties
 * @returns the server once it listens
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
	const lifetime: Lifetime = {health: 'serving', announcer: undefined};
	const server = createServer({requestTimeout: 0}, (incoming, answer) => {
		void handle(context, lifetime, incoming, answer);
	});
	server.listen(options.port, options.host);
	await once(server, 'listening');
	const port = readPort(server);
	if (options.local !== undefined) {
		lifetime.announcer = createAnnouncer(
			options.local,
			createDescription(context, lifetime, port),
		);
	}

	return {
		port,
		context,
		stop: async () => stop(server, lifetime),
	};
}

function readPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}

/** Gives the announcement to send, true or false as the faults want it. */
function createDescription(
	context: RunContext,
	lifetime: Lifetime,
	port: number,
): () => Announcement | undefined {
	const {options, faults, slots} = context;
	let lastReport = 0;
	return () => {
		if (!faults.announces) {
			return undefined;
		}

		const inFlight = slots.inUse() + slots.waiting();
		const told = faults.reportedInFlight < 0 ? inFlight : faults.reportedInFlight;
		lastReport = faults.frozenReport ? lastReport : told;
		return {
			name: options.name,
			service: options.service,
			host: options.host,
			port,
			slots: options.slots,
			health: lifetime.health,
			load: {inFlight: lastReport},
		};
	};
}

async function handle(
	context: RunContext,
	lifetime: Lifetime,
	incoming: IncomingMessage,
	answer: ServerResponse,
): Promise<void> {
	const path = incoming.url ?? '/';
	if (!path.startsWith(controlPrefix)) {
		await runRequest(context, incoming, answer);
		return;
	}

	const result = await control(context, lifetime, incoming);
	const text = JSON.stringify(result.body);
	answer.writeHead(result.status, {'content-type': 'application/json'});
	answer.end(text);
}

type ControlResult = {readonly status: number; readonly body: unknown};

async function control(
	context: RunContext,
	lifetime: Lifetime,
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
			return changeFaults(context, lifetime, incoming);
		}

		case 'POST drain': {
			lifetime.health = 'draining';
			await lifetime.announcer?.announce();
			return {status: 200, body: {health: lifetime.health}};
		}

		default: {
			return {
				status: 404,
				body: {error: 'use journal, state, faults or drain below /stand-in/'},
			};
		}
	}
}

async function changeFaults(
	context: RunContext,
	lifetime: Lifetime,
	incoming: IncomingMessage,
): Promise<ControlResult> {
	const parsed = faultsSchema.safeParse(await readJson(incoming));
	if (!parsed.success) {
		return {status: 400, body: {error: parsed.error.message}};
	}

	Object.assign(context.faults, parsed.data);
	await lifetime.announcer?.announce();
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

async function stop(server: Server, lifetime: Lifetime): Promise<void> {
	lifetime.health = 'draining';
	await lifetime.announcer?.announce();
	server.close();
	server.closeIdleConnections();
	await once(server, 'close');
	await lifetime.announcer?.withdraw();
}
