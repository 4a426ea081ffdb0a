/** What the rest of a node sees of configuration. */
import type {Result} from 'neverthrow';
import type {Member} from '../membership/index.js';
import type {TableClient} from '../table/index.js';
import type {AcceptedChange} from './acceptance.js';
import type {Change, ChangeError} from './change.js';
import type {ResolvedServicePolicy} from './document.js';
import type {FollowerCounters} from './follower-state.js';
import type {Head, AppliedDocument} from './applied-documents.js';
import type {PeerService} from './peer-service.js';
import type {ConfigurationPeers} from './peers.js';
import type {UnreadinessReason} from './readiness.js';
import type {StoredConfiguration} from './stored.js';

/** The configuration in force at a node, and how it is changed. */
export type Configuration = {
	/** Documents in force, in the order of their teams' names. */
	readonly appliedDocuments: () => readonly AppliedDocument[];
	/** Policy in force for a service. */
	readonly findServicePolicy: (serviceName: string) => ResolvedServicePolicy | undefined;
	/** Is called after a document came in force. */
	readonly subscribe: (listener: (held: AppliedDocument) => void) => void;
	/** What the node waits for before it may serve; `undefined` once it is ready. */
	readonly findUnreadiness: () => UnreadinessReason | undefined;
	/** Carries a change through the table and puts it in force here. */
	readonly change: (change: Change) => Promise<Result<AcceptedChange, ChangeError>>;
	/** Reads a team's row with its history from the table. */
	readonly readStored: (
		team: string,
	) => Promise<Result<StoredConfiguration | undefined, ChangeError>>;
	/** Asks another node which versions it holds; `undefined` if it does not answer. */
	readonly fetchHeads: (member: Member) => Promise<readonly Head[] | undefined>;
	/** For the control listener. */
	readonly service: PeerService['service'];
	/** What the following has done since the start. */
	readonly counters: () => FollowerCounters;
	/** The whole state for a dump. */
	readonly dump: () => Record<string, unknown>;
};

export type ConfigurationOptions = {
	readonly self: () => Member;
	/** All members that the node knows. */
	readonly members: () => readonly Member[];
	readonly findMember: (nodeId: string) => Member | undefined;
	/** The platform's table, if the settings name one. */
	readonly table: TableClient | undefined;
	readonly peers: ConfigurationPeers;
	/** Tells every node of a version. */
	readonly publishVersion: (topic: string, version: number) => void;
	readonly onVersion: (
		listener: (topic: string, version: number, from: string) => void,
	) => void;
	/** Monotonic milliseconds. */
	readonly now: () => number;
	/** Milliseconds since 1970. */
	readonly wallClock: () => number;
	/** Gives numbers from 0 to below 1. */
	readonly random: () => number;
	readonly log: {
		readonly info: (message: string, fields?: Record<string, unknown>) => void;
		readonly warn: (message: string, fields?: Record<string, unknown>) => void;
	};
};
