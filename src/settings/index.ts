/** Public API of the settings. */
export {formatFaults, readDocument, type DocumentFault} from './document.js';
export {type Settings} from './schema.js';
export {parseSettings, readSettings, type SettingsError} from './settings.js';
