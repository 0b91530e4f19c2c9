/** Settings files: schema and checks. */
export {parseSettings, SettingsError, type SettingsProblem} from './SettingsFile';
export {
  type EngineStandInSettings,
  type LimitSettings,
  type ServiceStandInSettings,
  type Settings,
  settingsJsonSchema,
  settingsSchema,
  type VmSettings,
} from './SettingsSchema';
