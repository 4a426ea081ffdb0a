/** Public surface of control: the gRPC listener of a node and the channels to other nodes. */
export {
	createControlChannels,
	type ControlAddress,
	type ControlChannels,
} from './channels.js';
export {
	listenForControl,
	type ControlListenerOptions,
	type ControlListenError,
	type ControlService,
} from './listener.js';
