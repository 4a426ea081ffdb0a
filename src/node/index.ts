/** Public API of the node. */
export {runNode, startNode, type NodePorts, type RunningNode} from './node.js';
export type {ListenError} from './listener.js';
