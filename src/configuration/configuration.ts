/** The interface of the configuration component, and what it needs from the node. */
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

/** Reads and changes the configuration of a node. */
export type Configuration = {
	/** The applied documents, sorted by team. */
	readonly appliedDocuments: () => readonly AppliedDocument[];
	/** Finds the policy that applies to a service. */
	readonly findServicePolicy: (serviceName: string) => ResolvedServicePolicy | undefined;
	/** Calls the listener after each document that is applied. */
	readonly subscribe: (listener: (document: AppliedDocument) => void) => void;
	/** Tells why the node may not serve yet; `undefined` once it is ready. */
	readonly findUnreadiness: () => UnreadinessReason | undefined;
	/** Commits a change to the table and applies it at this node. */
	readonly change: (change: Change) => Promise<Result<AcceptedChange, ChangeError>>;
	/** Reads a team's row with its history from the table. */
	readonly readStored: (
		team: string,
	) => Promise<Result<StoredConfiguration | undefined, ChangeError>>;
	/** Asks another node for its applied versions; `undefined` if it does not answer. */
	readonly fetchHeads: (member: Member) => Promise<readonly Head[] | undefined>;
	/** RPC service for the control listener. */
	readonly service: PeerService['service'];
	/** Counters since the start of the node. */
	readonly counters: () => FollowerCounters;
	/** The whole state, as plain values. */
	readonly dump: () => Record<string, unknown>;
};

export type ConfigurationOptions = {
	readonly self: () => Member;
	/** All known members. */
	readonly members: () => readonly Member[];
	readonly findMember: (nodeId: string) => Member | undefined;
	/** The platform's table, if the settings name one. */
	readonly table: TableClient | undefined;
	readonly peers: ConfigurationPeers;
	/** Publishes a version to all nodes by gossip. */
	readonly publishVersion: (topic: string, version: number) => void;
	readonly onVersion: (
		listener: (topic: string, version: number, from: string) => void,
	) => void;
	/** Monotonic milliseconds. */
	readonly now: () => number;
	/** Milliseconds since 1970. */
	readonly wallClock: () => number;
	/** Returns a number from 0 to below 1. */
	readonly random: () => number;
	readonly log: {
		readonly info: (message: string, fields?: Record<string, unknown>) => void;
		readonly warn: (message: string, fields?: Record<string, unknown>) => void;
	};
};
