/** Other nodes as sources of configuration. */
import type {Member} from '../membership/index.js';
import type {Head, DocumentVersion} from './applied-documents.js';

/** Where a node is reached. */
export type PeerAddress = Pick<Member, 'host' | 'controlPort'>;

/** What another node holds; heads are left out when the digests are the same. */
export type VersionComparison = {
	readonly isReady: boolean;
	readonly heads: readonly Head[];
};

/** Asks other nodes; `undefined` stands for no answer. */
export type ConfigurationPeers = {
	readonly compare: (
		address: PeerAddress,
		digest: string,
	) => Promise<VersionComparison | undefined>;
	/** Gives the version or, if the node does not have it, the one that it holds. */
	readonly fetch: (
		address: PeerAddress,
		head: Head,
	) => Promise<DocumentVersion | undefined>;
};
