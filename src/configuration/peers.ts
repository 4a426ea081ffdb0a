/** The interface to other nodes as sources of configuration. */
import type {Member} from '../membership/index.js';
import type {Head, DocumentVersion} from './applied-documents.js';

/** Control address of a node. */
export type PeerAddress = Pick<Member, 'host' | 'controlPort'>;

/** The versions that another node has applied; empty when the digests are equal. */
export type VersionComparison = {
	readonly isReady: boolean;
	readonly heads: readonly Head[];
};

/** Queries other nodes; `undefined` means no answer. */
export type ConfigurationPeers = {
	readonly compare: (
		address: PeerAddress,
		digest: string,
	) => Promise<VersionComparison | undefined>;
	/** Fetches the version or, if the node does not have it, the one that it has applied. */
	readonly fetch: (
		address: PeerAddress,
		head: Head,
	) => Promise<DocumentVersion | undefined>;
};
